package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

const (
	// maxNamedRouters bounds the addresses of one entry answer.
	maxNamedRouters = 6
	// homeFactor is how many times its share of the routers an organisation's
	// callers are spread over.
	homeFactor = 2
	// minHomes is the least number of routers an organisation is spread over.
	minHomes = 2
)

// routers answers the question which routers to use. It needs no key, since a
// caller may not have one that is in force yet; a key makes the answer stable
// for its organisation.
func (h *Handler) routers(w http.ResponseWriter, r *http.Request) {
	var organisation *text.Organisation
	share := 0.0
	if index := h.configurations.Index(); index != nil {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if organisation = index.Organisation(key); organisation != nil {
			share = weightShare(index.Document(), organisation)
		}
	}
	name := r.RemoteAddr
	if organisation != nil {
		name = organisation.Name
	}
	answer := caller.EntryAnswer{
		Routers:    chooseRouters(h.views.View(), name, r.RemoteAddr, share),
		HoldsUntil: time.Now().Add(h.limits.EntryHold).UTC(),
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone cannot be told anything more.
	_ = json.NewEncoder(w).Encode(answer)
}

func weightShare(doc *text.Document, o *text.Organisation) float64 {
	total := 0.0
	for i := range doc.Organisations {
		total += doc.Organisations[i].Weight
	}
	return o.Weight / total
}

// chooseRouters orders the routers for one caller. The organisation's own
// routers come first, as many as its share asks for, so that its prompts find
// warm caches; its callers are spread over them by their addresses. Routers of
// other FailureDomains follow, so that a lost FailureDomain leaves an address
// to try.
func chooseRouters(v *view.Snapshot, organisation, remote string, share float64) []netip.AddrPort {
	order := v.Owners("entry/"+organisation, len(v.Routers))
	homes := int(math.Ceil(share * homeFactor * float64(len(order))))
	homes = min(max(homes, minHomes), len(order))
	if homes == 0 {
		return nil
	}
	byID := make(map[view.RouterID]*view.Router, len(v.Routers))
	for i := range v.Routers {
		byID[v.Routers[i].ID] = &v.Routers[i]
	}
	first := callerOffset(remote, homes)
	ordered := make([]*view.Router, 0, len(order))
	for i := range homes {
		ordered = append(ordered, byID[order[(first+i)%homes]])
	}
	for _, id := range order[homes:] {
		ordered = append(ordered, byID[id])
	}
	return spreadDomains(reachable(ordered))
}

// reachable leaves out the suspected routers, unless that leaves none.
func reachable(ordered []*view.Router) []*view.Router {
	left := make([]*view.Router, 0, len(ordered))
	for _, r := range ordered {
		if !r.Suspected {
			left = append(left, r)
		}
	}
	if len(left) == 0 {
		return ordered
	}
	return left
}

// callerOffset spreads the callers of an organisation. The port is left out,
// so that a caller keeps its router over new connections.
func callerOffset(remote string, homes int) int {
	host := remote
	if a, err := netip.ParseAddrPort(remote); err == nil {
		host = a.Addr().String()
	}
	return int(xxhash.Sum64String(host) % uint64(homes))
}

// spreadDomains keeps the first router and then prefers FailureDomains that
// have not been named yet.
func spreadDomains(ordered []*view.Router) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, maxNamedRouters)
	used := make([]bool, len(ordered))
	named := make(map[string]bool)
	for len(addresses) < min(len(ordered), maxNamedRouters) {
		next := -1
		for i, r := range ordered {
			if used[i] {
				continue
			}
			if next < 0 {
				next = i
			}
			if !named[r.FailureDomain] {
				next = i
				break
			}
		}
		used[next] = true
		named[ordered[next].FailureDomain] = true
		addresses = append(addresses, ordered[next].CallerAddress)
	}
	return addresses
}
