package view

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouterID identifies a router: the name of its VM in the settings file.
type RouterID string

// EndpointID identifies one process of an endpoint by its VM, its name and its
// start. The address does not identify an endpoint, because addresses are
// reused.
type EndpointID string

// Router is a live router.
type Router struct {
	ID            RouterID
	FailureDomain string
	// PeerAddress is the address at which the router listens for other routers.
	PeerAddress netip.AddrPort
	// CallerAddress is the address at which the router listens for callers.
	CallerAddress netip.AddrPort
	// Incarnation increases with each start of the router.
	Incarnation uint64
	// Draining routers accept no new callers. They own no keys unless all
	// routers are draining.
	Draining bool
	// Suspected routers have stopped answering and may be dead. They keep the
	// keys that they own until they are declared dead, but callers are not
	// directed to them.
	Suspected bool
	// Capacity is the processor capacity of the router's VM, in cores; zero if
	// unknown.
	Capacity float64
}

// Endpoint is the current state of an endpoint as the fleet knows it.
type Endpoint struct {
	ID            EndpointID
	Pool          string
	VM            string
	FailureDomain string
	Address       netip.AddrPort
	// Slots is the number of requests that the endpoint runs concurrently, and
	// MemoryTokens the capacity of its cache in tokens; zero if unknown.
	Slots        int
	MemoryTokens int64
	// Models are the models loaded at the endpoint, sorted; nil for a plain
	// service.
	Models []string
	// Leaving endpoints receive no new requests.
	Leaving bool
	// Sequence rises each time that the endpoint states its entry anew; zero if it
	// states none.
	Sequence uint64
	// EjectedUntil is the time until which the endpoint receives no requests
	// because it failed; zero if it has not been ejected.
	EjectedUntil time.Time
	// ColdLeft is how much longer the endpoint stays cold by its entry, from when it
	// wrote it; negative if it states that it is not cold, and zero if it states nothing.
	ColdLeft time.Duration
	// ColdUntil is the instant until which the endpoint is cold: it has just started
	// and tolerates only Pool.ColdPerSecond requests. It is zero if the endpoint is
	// not known to be cold.
	ColdUntil time.Time
}

// Organisation holds the scheduling parameters of an organisation.
type Organisation struct {
	Name   string
	Weight float64
	// MaxWaiting and MaxWaitingBytes bound the number and the total body size
	// of the organisation's requests that wait on one router; zero means that
	// only the router's own limits apply.
	MaxWaiting      int
	MaxWaitingBytes int64
}

// Pool holds the scheduling parameters of a pool of endpoints.
type Pool struct {
	// TokensPerSecond is the configured throughput of all endpoints of the pool
	// together; zero if it is not configured.
	TokensPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream; zero if
	// unknown.
	TokensPerEvent float64
	// ColdPerSecond is the number of requests per second that a cold endpoint
	// tolerates, and ColdStart the time for which an endpoint is cold after its
	// start; zero if endpoints are never cold.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Snapshot is the state of the fleet as one router sees it.
type Snapshot struct {
	// Self is the router that holds this snapshot.
	Self RouterID
	// Routers are the live routers, sorted by ID, Self included.
	Routers []Router
	// Endpoints are the known endpoints, sorted by ID.
	Endpoints []Endpoint
	// Organisations are indexed by name.
	Organisations map[string]Organisation
	// Pools are indexed by name; a pool without configured parameters is
	// absent.
	Pools map[string]Pool
	// Evacuated names the failure domains whose endpoints must get no new requests,
	// sorted. These endpoints are marked as Leaving.
	Evacuated []string
	// Revision is the revision in force of the operators' text, which is the
	// fleet's configuration.
	Revision uint64
}

// Endpoint returns the endpoint with the given ID, and false if it is not known.
func (s *Snapshot) Endpoint(id EndpointID) (*Endpoint, bool) {
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == id {
			return &s.Endpoints[i], true
		}
	}
	return nil, false
}

// CanConnect reports whether an endpoint may have the address: a connection to an
// unspecified address reaches this host, and none to the others.
func CanConnect(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	return a.IsValid() && a.Port() > 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// Accepts reports whether the endpoint may receive new requests for the model
// at the given time. The model is empty for a plain service.
func (e *Endpoint) Accepts(model string, now time.Time) bool {
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
// rendezvous hashing: when a router joins or leaves, only the keys that it
// gains or loses change owner. A draining router owns no keys unless all
// routers are draining. The second result is false when no router is known.
func (s *Snapshot) Owner(key string) (RouterID, bool) {
	owners := s.Owners(key, 1)
	if len(owners) == 0 {
		return "", false
	}
	return owners[0], true
}

// Owners returns up to count routers in descending order of their rendezvous
// hash for the key; the first one is the owner. Draining routers are considered
// only if all routers are draining.
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
