package admission

import "time"

const (
	// minRemembered is the time for which a request is remembered at least. Callers
	// return within a few seconds, by the time stated in the refusal.
	minRemembered = 5 * time.Second
	// maxRemembered is the number of requests after which the older half is forgotten
	// early: a router reads and rejects some thousands in a second.
	maxRemembered = 1 << 15
	// maxCounted is the number of times that a request counts as demand at this router.
	// Callers may return at another router, where the request is not remembered, which
	// returnedShare allows for.
	maxCounted = 1
)

// requestIdentity identifies a request of an organisation that its caller may send
// again.
type requestIdentity struct {
	organisation string
	identity     uint64
}

// returning remembers the requests of the last seconds, so that a request counts
// at most maxCounted times as demand, however often its caller returns with it after
// a refusal.
type returning struct {
	// newer and older hold the number of times that each request was sent.
	newer, older map[requestIdentity]int
	// rotateAt is when older is forgotten and newer becomes older.
	rotateAt time.Time
}

// counts reports whether the request is to be counted as demand, and remembers it.
// A request without an identity always counts.
func (r *returning) counts(now time.Time, organisation string, identity uint64) bool {
	if identity == 0 {
		return true
	}
	if r.newer == nil || !now.Before(r.rotateAt) || len(r.newer) >= maxRemembered/2 {
		r.newer, r.older = make(map[requestIdentity]int), r.newer
		r.rotateAt = now.Add(minRemembered)
	}
	key := requestIdentity{organisation, identity}
	sent, known := r.newer[key]
	if !known {
		sent = r.older[key]
	}
	r.newer[key] = sent + 1
	return sent < maxCounted
}
