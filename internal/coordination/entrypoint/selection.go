package entrypoint

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// candidate is a router with its score for a caller. Lower scores come first.
type candidate struct {
	router *router
	score  float64
}

// Select returns the addresses of the routers that the caller should use, at most
// limit, in the order of their IDs. It returns none while Active is false or if no
// router is usable. This router itself is usable only if ready is set.
func (t *Table) Select(caller Caller, limit int, ready bool) []netip.AddrPort {
	if !t.active || limit <= 0 {
		return nil
	}
	key := caller.hash()
	var buffer [maxAnywhere]candidate
	chosen := buffer[:0]
	var d *domain
	if caller.FailureDomain != "" {
		if d = t.domains[caller.FailureDomain]; d == nil {
			t.logUnknown(caller.FailureDomain)
		}
	}
	if d != nil && len(t.domains) > 1 {
		remote := int(d.remote + unit(mix(key)))
		chosen = appendLowest(chosen, d.local, key, ready, d.routers, nil)
		// Routers that the failure domain lacks are taken elsewhere.
		chosen = appendLowest(chosen, d.local-len(chosen)+remote, key, ready, t.routers, d)
	} else {
		chosen = appendLowest(chosen, t.fleet.local, key, ready, t.routers, nil)
	}
	chosen = t.withSecondDomain(chosen, key, ready)
	if len(chosen) > limit {
		slices.SortFunc(chosen, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		chosen = chosen[:limit]
	}
	slices.SortFunc(chosen, func(a, b candidate) int { return cmp.Compare(a.router.ID, b.router.ID) })
	addresses := make([]netip.AddrPort, len(chosen))
	for i := range chosen {
		addresses[i] = chosen[i].router.CallerAddress
	}
	return addresses
}

// logUnknown logs a failure domain without routers, once.
func (t *Table) logUnknown(failureDomain string) {
	name := strings.Clone(failureDomain[:min(len(failureDomain), maxLoggedName)])
	if !t.unknown[name] && len(t.unknown) < maxUnknownDomains {
		t.unknown[name] = true
		t.decide(EventUnknownDomain, "FailureDomain", name)
	}
}

// withSecondDomain replaces the last candidate if all are of one failure domain and a
// router of another one is usable.
func (t *Table) withSecondDomain(chosen []candidate, key uint64, ready bool) []candidate {
	if len(chosen) == 0 {
		return chosen
	}
	first := chosen[0].router.FailureDomain
	if len(chosen) > 1 && slices.ContainsFunc(chosen, func(c candidate) bool { return c.router.FailureDomain != first }) {
		return chosen
	}
	var buffer [1]candidate
	other := appendLowest(buffer[:0], 1, key, ready, t.routers, t.domains[first])
	if len(other) > 0 {
		if len(chosen) > 1 {
			chosen = chosen[:len(chosen)-1]
		}
		chosen = append(chosen, other[0])
	}
	return chosen
}

// appendLowest appends the count usable routers that score lowest for the caller,
// without those of the excluded failure domain, if one is given.
func appendLowest(chosen []candidate, count int, key uint64, ready bool, routers []*router, excluded *domain) []candidate {
	start := len(chosen)
	if count <= 0 {
		return chosen
	}
	for _, r := range routers {
		if r.Draining || r.Suspected || r.self && !ready || excluded != nil && r.FailureDomain == excluded.name {
			continue
		}
		c := candidate{r, unit(mix(key^r.hash)) / r.weight}
		if len(chosen)-start == count {
			if c.score >= chosen[len(chosen)-1].score {
				continue
			}
			chosen = chosen[:len(chosen)-1]
		}
		at := len(chosen)
		for at > start && chosen[at-1].score > c.score {
			at--
		}
		chosen = slices.Insert(chosen, at, c)
	}
	return chosen
}

// hash returns the key of the caller's answers.
func (c Caller) hash() uint64 {
	address := c.Address.Unmap().As16()
	return xxhash.Sum64(address[:])
}

// mix is the finaliser of SplitMix64: it spreads each bit of x over the result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x to a number between 0 and 1, exclusively.
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
