package bidding

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// initialBidsPerRequest is the number of bids for each waiting request at
	// first, and laterBidsPerRequest the number after laterBidsAfter without a
	// grant. The first number is small because, while the fleet has free slots,
	// every bid beyond the first leads to a grant that is returned unused.
	initialBidsPerRequest = 2
	laterBidsPerRequest   = 6
	laterBidsAfter        = 5 * time.Millisecond
	// maxDemandBids is the largest number of endpoints at which a queue bids on
	// account of its length alone. Only a queue that is behind bids at more.
	maxDemandBids = 64
	// maxStatedWaiting is the largest number of waiting requests that one bid
	// states.
	maxStatedWaiting = 64
	// topUpBelow is the number of remaining grants below which a bid is restated
	// if the queue has at least twice as many requests.
	topUpBelow = 8
	// widenInterval is the time between two doublings of the width of a queue that
	// is behind.
	widenInterval = 20 * time.Millisecond
	// reviewInterval is the time between two reviews of the bids of a queue that
	// is not behind. A queue that had no grant in the interval bids at one more
	// endpoint; any other queue withdraws a part of its surplus bids.
	reviewInterval = 250 * time.Millisecond
	// narrowDivisor is the divisor that gives the part of the surplus bids that
	// one review withdraws.
	narrowDivisor = 4
	// resyncAfter is the time without a grant from a dispatcher after which the
	// bid is sent again with Resync if no other dispatcher grants either, and
	// servedResyncAfter the time if another does.
	resyncAfter       = 2 * time.Second
	servedResyncAfter = 10 * time.Second
	// noEndpointGrace is how long requests wait for an eligible endpoint to appear
	// in the view.
	noEndpointGrace = 10 * time.Second
)

// queueKey identifies a queue within a router.
type queueKey struct {
	pool  string
	queue schedule.QueueKey
}

// requestQueue holds the waiting requests of one organisation for one model,
// which the same endpoints can serve, and the bids for them.
type requestQueue struct {
	key     queueKey
	waiting itemHeap
	bids    []*placedBid
	meter   *meter
	// width is the least number of endpoints at which to bid, whatever the number
	// of waiting requests.
	width int
	// widenAt is the instant from which the width may change again.
	widenAt time.Time
	// reviewAt is the instant of the next review of the bids if the queue is not
	// behind.
	reviewAt time.Time
	// grantedAt is the instant of the last grant, or of the arrival of a request
	// in the empty queue if that is later.
	grantedAt time.Time
	// noEndpointSince is the instant since which no endpoint has been eligible;
	// zero if one is.
	noEndpointSince time.Time
	// grantInterval is the smoothed time between two grants.
	grantInterval time.Duration
	emptySince    time.Time
}

// placedBid is a bid at one endpoint.
type placedBid struct {
	endpoint         view.EndpointID
	owner            view.RouterID
	received         uint64 // grants received since the bid was first placed
	statedWaiting    int    // waiting requests that the last bid sent stated
	sentAt           time.Time
	urgency          int
	receivedWhenSent uint64 // value of received when the last bid was sent
	// silentSince is the instant of the dispatcher's last grant, or of the first
	// bid or last resync if that is later.
	silentSince time.Time
}

// remaining is the number of grants that the dispatcher may still give for the
// bid.
func (s *placedBid) remaining() int {
	return max(0, s.statedWaiting-int(s.received-s.receivedWhenSent))
}

// bidAt returns the queue's bid at the endpoint, or nil.
func (q *requestQueue) bidAt(id view.EndpointID) *placedBid {
	for _, s := range q.bids {
		if s.endpoint == id {
			return s
		}
	}
	return nil
}

// liveBids is the number of endpoints at which the queue has a bid with
// remaining grants.
func (q *requestQueue) liveBids() int {
	count := 0
	for _, s := range q.bids {
		if s.remaining() > 0 {
			count++
		}
	}
	return count
}

// targetBids is the number of endpoints at which the queue should bid.
func (q *requestQueue) targetBids(now time.Time) int {
	perRequest := initialBidsPerRequest
	if now.Sub(q.grantedAt) >= laterBidsAfter {
		perRequest = laterBidsPerRequest
	}
	return max(q.width, min(perRequest*q.waiting.Len(), maxDemandBids))
}

// needsUpdate reports whether the bid must be sent again.
func (q *requestQueue) needsUpdate(now time.Time, s *placedBid) bool {
	n, remaining := q.waiting.Len(), s.remaining()
	if s.statedWaiting == 0 {
		return false
	}
	if remaining == 0 || remaining < topUpBelow && n >= 2*remaining && n > 1 {
		return true
	}
	if q.waiting.first().urgency() > s.urgency {
		return true
	}
	interval := q.resyncInterval(now)
	return now.Sub(s.silentSince) >= interval && now.Sub(s.sentAt) >= interval
}

// resyncInterval is how long a dispatcher may send no grant before the bid is
// assumed to be lost.
func (q *requestQueue) resyncInterval(now time.Time) time.Duration {
	if now.Sub(q.grantedAt) < resyncAfter {
		return servedResyncAfter
	}
	return resyncAfter
}

// urgency is the request's urgency as stated to a dispatcher. Nested calls
// precede all other requests of their organisation.
func (i *item) urgency() int {
	if i.request.Nested {
		return i.request.Urgency + nestedUrgency
	}
	return i.request.Urgency
}

// nestedUrgency exceeds any urgency of the operators' text.
const nestedUrgency = 1 << 20

// withdrawalBid builds the bid that withdraws s.
func (q *requestQueue) withdrawalBid(now time.Time, s *placedBid) *schedule.Bid {
	s.statedWaiting, s.receivedWhenSent, s.sentAt = 0, s.received, now
	return &schedule.Bid{
		Endpoint: s.endpoint, Queue: q.key.queue, Received: s.received,
		Tag: q.meter.Counter(now), Rate: q.meter.Rate(), Reserve: q.meter.reserve(),
	}
}

// nextBid builds the bid that states the queue's present demand.
func (q *requestQueue) nextBid(now time.Time, s *placedBid) *schedule.Bid {
	resync := s.statedWaiting > 0 && now.Sub(s.silentSince) >= q.resyncInterval(now)
	s.statedWaiting = min(q.waiting.Len(), maxStatedWaiting)
	s.receivedWhenSent = s.received
	s.sentAt = now
	s.urgency = 0
	if first := q.waiting.first(); first != nil {
		s.urgency = first.urgency()
	}
	if resync || s.silentSince.IsZero() {
		s.silentSince = now
	}
	return &schedule.Bid{
		Endpoint: s.endpoint, Queue: q.key.queue, Waiting: s.statedWaiting, Received: s.received,
		Resync: resync, Urgency: s.urgency, Tag: q.meter.Counter(now), Rate: q.meter.Rate(), Reserve: q.meter.reserve(),
	}
}
