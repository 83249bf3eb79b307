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
	// maxAnswerRouters bounds the number of router addresses in an answer.
	maxAnswerRouters = 6
	// homeRouterFactor multiplies an organisation's share of the total weight
	// to give the fraction of the routers that are its home routers, which its
	// callers are told to try first.
	homeRouterFactor = 2
	// minHomeRouters is the minimum number of home routers of an organisation.
	minHomeRouters = 2
)

// serveRouters answers with the addresses of the routers to use. No key is
// required, since the caller's key may not be in force yet. With a key, the
// answer is stable for the organisation.
func (h *Handler) serveRouters(w http.ResponseWriter, r *http.Request) {
	var organisation *text.Organisation
	share := 0.0
	if index := h.configurations.Index(); index != nil {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if organisation = index.Organisation(key); organisation != nil {
			share = weightShare(index.Document(), organisation)
		}
	}
	hashKey := r.RemoteAddr
	if organisation != nil {
		hashKey = organisation.Name
	}
	answer := caller.EntryAnswer{
		Routers:    chooseRouters(h.views.View(), hashKey, r.RemoteAddr, share),
		HoldsUntil: time.Now().Add(h.limits.EntryHold).UTC(),
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected; there is no one left to
	// notify.
	_ = json.NewEncoder(w).Encode(answer)
}

func weightShare(doc *text.Document, o *text.Organisation) float64 {
	total := 0.0
	for i := range doc.Organisations {
		total += doc.Organisations[i].Weight
	}
	return o.Weight / total
}

// chooseRouters returns router addresses for one caller, in the order in which
// to try them. The organisation's home routers, whose number grows with its
// share, come first, so that its prompts hit warm caches; its callers are spread
// over the home routers by their addresses. After the first router, routers of
// other failure domains are preferred, so that an address remains if a failure
// domain is lost. hashKey determines the home routers; it is the organisation's
// name or, if the organisation is unknown, the caller's address.
func chooseRouters(v *view.Snapshot, hashKey, remote string, share float64) []netip.AddrPort {
	order := v.Owners("entry/"+hashKey, len(v.Routers))
	homeCount := int(math.Ceil(share * homeRouterFactor * float64(len(order))))
	homeCount = min(max(homeCount, minHomeRouters), len(order))
	if homeCount == 0 {
		return nil
	}
	byID := make(map[view.RouterID]*view.Router, len(v.Routers))
	for i := range v.Routers {
		byID[v.Routers[i].ID] = &v.Routers[i]
	}
	offset := callerOffset(remote, homeCount)
	ordered := make([]*view.Router, 0, len(order))
	for i := range homeCount {
		ordered = append(ordered, byID[order[(offset+i)%homeCount]])
	}
	for _, id := range order[homeCount:] {
		ordered = append(ordered, byID[id])
	}
	return spreadDomains(withoutSuspected(ordered))
}

// withoutSuspected returns the routers that are not suspected, or all of them
// if every router is suspected.
func withoutSuspected(ordered []*view.Router) []*view.Router {
	unsuspected := make([]*view.Router, 0, len(ordered))
	for _, r := range ordered {
		if !r.Suspected {
			unsuspected = append(unsuspected, r)
		}
	}
	if len(unsuspected) == 0 {
		return ordered
	}
	return unsuspected
}

// callerOffset returns the index of the home router for a caller. It ignores the
// port, so that a caller keeps its router across connections.
func callerOffset(remote string, homeCount int) int {
	host := remote
	if a, err := netip.ParseAddrPort(remote); err == nil {
		host = a.Addr().String()
	}
	return int(xxhash.Sum64String(host) % uint64(homeCount))
}

// spreadDomains returns the addresses of at most maxAnswerRouters routers. It
// keeps the first router, and then prefers routers whose failure domain is not
// represented yet.
func spreadDomains(ordered []*view.Router) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, maxAnswerRouters)
	usedRouters := make([]bool, len(ordered))
	usedDomains := make(map[string]bool)
	for len(addresses) < min(len(ordered), maxAnswerRouters) {
		next := -1
		for i, r := range ordered {
			if usedRouters[i] {
				continue
			}
			if next < 0 {
				next = i
			}
			if !usedDomains[r.FailureDomain] {
				next = i
				break
			}
		}
		usedRouters[next] = true
		usedDomains[ordered[next].FailureDomain] = true
		addresses = append(addresses, ordered[next].CallerAddress)
	}
	return addresses
}
