package view

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouterID is the name of a router's VM as its settings give it.
type RouterID string

// EndpointID names one start of one endpoint: its VM, its name and its start.
// An address alone is no identity, because addresses are reused.
type EndpointID string

// Router is a live router.
type Router struct {
	ID            RouterID
	FailureDomain string
	// PeerAddress is where it listens for other routers.
	PeerAddress netip.AddrPort
	// CallerAddress is where it listens for callers.
	CallerAddress netip.AddrPort
	// Incarnation grows with each start of the router.
	Incarnation uint64
	// Draining routers take no new callers and own nothing.
	Draining bool
	// Suspected routers are silent and may be dead. They keep what they own
	// until they are, yet callers are not sent to them.
	Suspected bool
}

// Endpoint is an endpoint as the fleet sees it now.
type Endpoint struct {
	ID            EndpointID
	Pool          string
	VM            string
	FailureDomain string
	Address       netip.AddrPort
	// Slots is the number of requests that the endpoint runs at once and
	// MemoryTokens the tokens that its cache holds; zero if they aren't known.
	Slots        int
	MemoryTokens int64
	// Models are the models that the endpoint holds, sorted; nil for a plain
	// service.
	Models []string
	// Leaving endpoints get no new work.
	Leaving bool
	// EjectedUntil is the instant until which the endpoint gets no work
	// because it failed; zero if it is in good standing.
	EjectedUntil time.Time
}

// Organisation is what scheduling needs to know of an organisation.
type Organisation struct {
	Name            string
	Weight          float64
	MaxWaiting      int
	MaxWaitingBytes int64
}

// Pool is what scheduling needs to know of a pool of endpoints.
type Pool struct {
	// TokensPerSecond is the work that the endpoints of the pool can do
	// together, as the operators state it; zero if they don't.
	TokensPerSecond float64
	// TokensPerEvent is the number of tokens that one event of a stream holds;
	// zero if it isn't known.
	TokensPerEvent float64
}

// Snapshot is the state of the fleet as one router sees it.
type Snapshot struct {
	// Self is the router that holds this view.
	Self RouterID
	// Routers are the live routers, sorted by ID, Self included.
	Routers []Router
	// Endpoints are the known endpoints, sorted by ID.
	Endpoints []Endpoint
	// Organisations are indexed by name.
	Organisations map[string]Organisation
	// Pools are indexed by name; a pool of which nothing is stated is absent.
	Pools map[string]Pool
	// Revision is the revision of the operators' text that is in force.
	Revision uint64
}

// Takes reports whether the endpoint may get new work for the model at the
// given instant; an empty model stands for a plain service.
func (e *Endpoint) Takes(model string, now time.Time) bool {
	if e.Leaving || now.Before(e.EjectedUntil) {
		return false
	}
	if model == "" {
		return true
	}
	for _, m := range e.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Owner returns the live router that is responsible for the key, chosen by
// rendezvous hashing: when a router comes or goes, only the keys that it
// gains or loses move. A draining router owns nothing unless all are
// draining. The second result is false when no router is known.
func (s *Snapshot) Owner(key string) (RouterID, bool) {
	owners := s.Owners(key, 1)
	if len(owners) == 0 {
		return "", false
	}
	return owners[0], true
}

// Owners returns up to count routers in the order of their responsibility for
// the key.
func (s *Snapshot) Owners(key string, count int) []RouterID {
	type candidate struct {
		router RouterID
		score  uint64
	}
	best := make([]candidate, 0, count)
	for pass := 0; pass < 2 && len(best) == 0; pass++ {
		for i := range s.Routers {
			r := &s.Routers[i]
			if r.Draining && pass == 0 {
				continue
			}
			c := candidate{r.ID, score(key, r.ID)}
			at := len(best)
			for at > 0 && best[at-1].score < c.score {
				at--
			}
			if at >= count {
				continue
			}
			if len(best) < count {
				best = append(best, candidate{})
			}
			copy(best[at+1:], best[at:])
			best[at] = c
		}
	}
	owners := make([]RouterID, len(best))
	for i, c := range best {
		owners[i] = c.router
	}
	return owners
}

func score(key string, id RouterID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
