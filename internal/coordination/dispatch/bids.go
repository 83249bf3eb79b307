package dispatch

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

// bidKey identifies a queue at one router.
type bidKey struct {
	from  view.RouterID
	queue schedule.QueueKey
}

// bid is a router's latest bid for one of its queues.
type bid struct {
	key      bidKey
	waiting  int    // waiting requests without a grant in flight
	granted  uint64 // Bid.Received plus the grants in flight to the sender
	urgency  int
	reserve  float64 // reserved for one grant
	sequence uint64
	until    time.Time
	index    int // position in the organisation's queue; -1 if not queued
}

// organisationQueue holds the bids of one organisation. The most urgent bid
// comes first; among equals, the bid that was enqueued or granted least
// recently.
type organisationQueue struct {
	organisation string
	counter      float64 // when last examined; the present value is not lower
	// tieBreak decides between equal counters. It differs between endpoints, so
	// that in an idle fleet one organisation does not get all slots because of its
	// name.
	tieBreak uint64
	bids     []*bid
	index    int
}

// Len is the number of bids.
func (q *organisationQueue) Len() int { return len(q.bids) }

// Less orders by urgency, then by sequence.
func (q *organisationQueue) Less(i, j int) bool {
	if q.bids[i].urgency != q.bids[j].urgency {
		return q.bids[i].urgency > q.bids[j].urgency
	}
	return q.bids[i].sequence < q.bids[j].sequence
}

// Swap exchanges two bids.
func (q *organisationQueue) Swap(i, j int) {
	q.bids[i], q.bids[j] = q.bids[j], q.bids[i]
	q.bids[i].index, q.bids[j].index = i, j
}

// Push adds a *bid.
func (q *organisationQueue) Push(x any) {
	b := x.(*bid)
	b.index = len(q.bids)
	q.bids = append(q.bids, b)
}

// Pop removes the last bid.
func (q *organisationQueue) Pop() any {
	b := q.bids[len(q.bids)-1]
	q.bids = q.bids[:len(q.bids)-1]
	b.index = -1
	return b
}

// queueHeap is a heap of the organisations that bid, ordered by counter.
type queueHeap []*organisationQueue

// Len is the number of organisations.
func (q queueHeap) Len() int { return len(q) }

// Less orders by counter, then by tieBreak.
func (q queueHeap) Less(i, j int) bool {
	if q[i].counter != q[j].counter {
		return q[i].counter < q[j].counter
	}
	return q[i].tieBreak < q[j].tieBreak
}

// Swap exchanges two organisations.
func (q queueHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds an *organisationQueue.
func (q *queueHeap) Push(x any) {
	added := x.(*organisationQueue)
	added.index = len(*q)
	*q = append(*q, added)
}

// Pop removes the last organisation.
func (q *queueHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// endpointBids holds the bids for one endpoint.
type endpointBids struct {
	endpoint       view.EndpointID
	counters       *account.Counters
	byKey          map[bidKey]*bid
	byOrganisation map[string]*organisationQueue
	queues         queueHeap
	lastSequence   uint64
}

func newEndpointBids(endpoint view.EndpointID, counters *account.Counters) endpointBids {
	return endpointBids{endpoint: endpoint, counters: counters, byKey: map[bidKey]*bid{}, byOrganisation: map[string]*organisationQueue{}}
}

// update records a router's bid for a queue. The grants that the sender had not
// received when it sent the bid are subtracted from the waiting requests; with
// Resync they are assumed to be lost.
func (b *endpointBids) update(now time.Time, from view.RouterID, m *schedule.Bid) {
	key := bidKey{from, m.Queue}
	held := b.byKey[key]
	if held == nil {
		if m.Waiting == 0 {
			return
		}
		held = &bid{key: key, granted: m.Received, index: -1}
		b.byKey[key] = held
	}
	if m.Resync || held.granted < m.Received {
		held.granted = m.Received
	}
	held.until = now.Add(bidLifetime)
	held.reserve = m.Reserve
	held.waiting = max(0, m.Waiting-int(held.granted-m.Received))
	if m.Waiting == 0 {
		held.waiting = 0
	}
	if held.index >= 0 && (held.waiting == 0 || held.urgency != m.Urgency) {
		b.dequeue(held)
	}
	held.urgency = m.Urgency
	if held.waiting > 0 && held.index < 0 {
		b.enqueue(now, held)
	}
}

func (b *endpointBids) enqueue(now time.Time, held *bid) {
	b.lastSequence++
	held.sequence = b.lastSequence
	name := held.key.queue.Organisation
	q := b.byOrganisation[name]
	if q == nil {
		tieBreak := xxhash.Sum64String(string(b.endpoint) + "\x00" + name)
		q = &organisationQueue{organisation: name, counter: b.counters.Value(now, name), tieBreak: tieBreak}
		b.byOrganisation[name] = q
		heap.Push(&b.queues, q)
	}
	heap.Push(q, held)
}

func (b *endpointBids) dequeue(held *bid) {
	name := held.key.queue.Organisation
	q := b.byOrganisation[name]
	heap.Remove(q, held.index)
	if len(q.bids) == 0 {
		heap.Remove(&b.queues, q.index)
		delete(b.byOrganisation, name)
	}
}

// next returns the bid to serve: the first bid of the organisation with the
// lowest counter. Exclusive bids are skipped unless allowExclusive is set.
func (b *endpointBids) next(now time.Time, allowExclusive bool) *bid {
	var skipped []*organisationQueue
	defer func() {
		for _, q := range skipped {
			heap.Push(&b.queues, q)
		}
	}()
	for len(b.queues) > 0 {
		q := b.queues[0]
		if counter := b.counters.Value(now, q.organisation); counter != q.counter {
			q.counter = counter
			heap.Fix(&b.queues, 0)
			continue
		}
		if found := q.firstEligible(allowExclusive); found != nil {
			return found
		}
		skipped = append(skipped, heap.Pop(&b.queues).(*organisationQueue))
	}
	return nil
}

// firstEligible is the organisation's bid to serve; nil if all its bids are
// exclusive and allowExclusive is not set.
func (q *organisationQueue) firstEligible(allowExclusive bool) *bid {
	if allowExclusive || !q.bids[0].key.queue.Exclusive {
		return q.bids[0]
	}
	var best *bid
	for i, candidate := range q.bids {
		if !candidate.key.queue.Exclusive && (best == nil || q.Less(i, best.index)) {
			best = candidate
		}
	}
	return best
}

// recordGrant counts a grant against the bid.
func (b *endpointBids) recordGrant(now time.Time, held *bid) {
	held.granted++
	held.waiting--
	b.dequeue(held)
	if held.waiting > 0 {
		b.enqueue(now, held)
	}
}

// reorderLowered restores the heap order after the organisation's counter fell.
func (b *endpointBids) reorderLowered(now time.Time, organisation string) {
	if q := b.byOrganisation[organisation]; q != nil {
		q.counter = b.counters.Value(now, organisation)
		heap.Fix(&b.queues, q.index)
	}
}

// removeWhere removes the bids that match.
func (b *endpointBids) removeWhere(matches func(*bid) bool) {
	for key, held := range b.byKey {
		if !matches(held) {
			continue
		}
		if held.index >= 0 {
			b.dequeue(held)
		}
		delete(b.byKey, key)
	}
}
