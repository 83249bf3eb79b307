package cost

import (
	"slices"
	"time"
)

// maxPeerRequests bounds the requests of peers that are taken into account. It is far more
// than an endpoint has slots; a malformed report may state billions.
const maxPeerRequests = 4096

// Slots holds the expected ends of the requests that this router runs on an endpoint.
type Slots struct{ ends map[uint64]time.Time }

// Set records the expected end of a request, given by an identifier.
func (s *Slots) Set(id uint64, end time.Time) {
	if s.ends == nil {
		s.ends = make(map[uint64]time.Time)
	}
	s.ends[id] = end
}

// Remove forgets a request, which has ended.
func (s *Slots) Remove(id uint64) { delete(s.ends, id) }

// Free returns the instants at which the endpoint's slots are expected to become free, in
// order. Of the requests of peers only the number is known: their ends are taken to be
// spread evenly over the mean time for which a request occupies a slot. A request that is
// late is expected to end now.
func (s *Slots) Free(now time.Time, slots, peers int, mean time.Duration) []time.Time {
	peers = min(max(peers, 0), maxPeerRequests)
	ends := make([]time.Time, 0, max(slots, len(s.ends)+peers))
	for range slots - len(s.ends) - peers {
		ends = append(ends, now)
	}
	for _, end := range s.ends {
		if end.Before(now) {
			end = now
		}
		ends = append(ends, end)
	}
	for i := range peers {
		ends = append(ends, now.Add(mean*time.Duration(i+1)/time.Duration(peers+1)))
	}
	slices.SortFunc(ends, time.Time.Compare)
	// With more requests than slots, the first ones to end leave no slot free.
	return ends[max(len(ends)-slots, 0):]
}
