package dispatch

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

// bidKey names a line at one router.
type bidKey struct {
	from view.RouterID
	line schedule.QueueKey
}

// bid is the latest word of a router about one of its lines.
type bid struct {
	key     bidKey
	waiting int // requests that wait and have no grant on its way
	granted uint64
	urgency int
	amount  float64 // reserved for one grant
	order   uint64
	until   time.Time
	index   int // in the queue; -1 outside
}

// queue is the bids of one organisation, the most urgent first, then the one
// that was served or placed least recently.
type queue struct {
	organisation string
	counter      float64 // as of the last look; the true one is not lower
	// turn decides between equal counters. It differs from endpoint to
	// endpoint, so that an empty fleet does not give all slots to one name.
	turn  uint64
	bids  []*bid
	index int
}

// Len is the number of bids.
func (q *queue) Len() int { return len(q.bids) }

// Less orders by urgency, then by turn.
func (q *queue) Less(i, j int) bool {
	if q.bids[i].urgency != q.bids[j].urgency {
		return q.bids[i].urgency > q.bids[j].urgency
	}
	return q.bids[i].order < q.bids[j].order
}

// Swap exchanges two bids.
func (q *queue) Swap(i, j int) {
	q.bids[i], q.bids[j] = q.bids[j], q.bids[i]
	q.bids[i].index, q.bids[j].index = i, j
}

// Push adds a *bid.
func (q *queue) Push(x any) {
	b := x.(*bid)
	b.index = len(q.bids)
	q.bids = append(q.bids, b)
}

// Pop removes the last bid.
func (q *queue) Pop() any {
	b := q.bids[len(q.bids)-1]
	q.bids = q.bids[:len(q.bids)-1]
	b.index = -1
	return b
}

// queues are the organisations that bid, the least counter first.
type queues []*queue

// Len is the number of organisations.
func (q queues) Len() int { return len(q) }

// Less orders by counter, then by turn.
func (q queues) Less(i, j int) bool {
	if q[i].counter != q[j].counter {
		return q[i].counter < q[j].counter
	}
	return q[i].turn < q[j].turn
}

// Swap exchanges two organisations.
func (q queues) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a *queue.
func (q *queues) Push(x any) {
	added := x.(*queue)
	added.index = len(*q)
	*q = append(*q, added)
}

// Pop removes the last organisation.
func (q *queues) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// board holds the bids for one endpoint.
type board struct {
	endpoint view.EndpointID
	counters *account.Counters
	bids     map[bidKey]*bid
	byName   map[string]*queue
	heap     queues
	placed   uint64
}

func newBoard(endpoint view.EndpointID, counters *account.Counters) board {
	return board{endpoint: endpoint, counters: counters, bids: map[bidKey]*bid{}, byName: map[string]*queue{}}
}

// place takes a router's word about a line.
func (b *board) place(now time.Time, from view.RouterID, m *schedule.Bid) {
	key := bidKey{from, m.Queue}
	held := b.bids[key]
	if held == nil {
		if m.Waiting == 0 {
			return
		}
		held = &bid{key: key, granted: m.Received, index: -1}
		b.bids[key] = held
	}
	if m.Resync || held.granted < m.Received {
		held.granted = m.Received
	}
	held.until = now.Add(bidLifetime)
	held.amount = m.Reserve
	held.waiting = max(0, m.Waiting-int(held.granted-m.Received))
	if m.Waiting == 0 {
		held.waiting = 0
	}
	if held.index >= 0 && (held.waiting == 0 || held.urgency != m.Urgency) {
		b.unlist(held)
	}
	held.urgency = m.Urgency
	if held.waiting > 0 && held.index < 0 {
		b.list(now, held)
	}
}

func (b *board) list(now time.Time, held *bid) {
	b.placed++
	held.order = b.placed
	name := held.key.line.Organisation
	q := b.byName[name]
	if q == nil {
		turn := xxhash.Sum64String(string(b.endpoint) + "\x00" + name)
		q = &queue{organisation: name, counter: b.counters.Value(now, name), turn: turn}
		b.byName[name] = q
		heap.Push(&b.heap, q)
	}
	heap.Push(q, held)
}

func (b *board) unlist(held *bid) {
	name := held.key.line.Organisation
	q := b.byName[name]
	heap.Remove(q, held.index)
	if len(q.bids) == 0 {
		heap.Remove(&b.heap, q.index)
		delete(b.byName, name)
	}
}

// next returns the bid to serve: the first in the queue of the organisation
// with the least counter. Exclusive bids are passed over if none may run.
func (b *board) next(now time.Time, exclusive bool) *bid {
	var passed []*queue
	defer func() {
		for _, q := range passed {
			heap.Push(&b.heap, q)
		}
	}()
	for len(b.heap) > 0 {
		q := b.heap[0]
		if counter := b.counters.Value(now, q.organisation); counter != q.counter {
			q.counter = counter
			heap.Fix(&b.heap, 0)
			continue
		}
		if found := q.first(exclusive); found != nil {
			return found
		}
		passed = append(passed, heap.Pop(&b.heap).(*queue))
	}
	return nil
}

// first is the bid to serve among the organisation's.
func (q *queue) first(exclusive bool) *bid {
	if exclusive || !q.bids[0].key.line.Exclusive {
		return q.bids[0]
	}
	var best *bid
	for i, candidate := range q.bids {
		if !candidate.key.line.Exclusive && (best == nil || q.Less(i, best.index)) {
			best = candidate
		}
	}
	return best
}

// served counts a grant against the bid.
func (b *board) served(now time.Time, held *bid) {
	held.granted++
	held.waiting--
	b.unlist(held)
	if held.waiting > 0 {
		b.list(now, held)
	}
}

// lowered puts the organisation back in order after its counter fell.
func (b *board) lowered(now time.Time, organisation string) {
	if q := b.byName[organisation]; q != nil {
		q.counter = b.counters.Value(now, organisation)
		heap.Fix(&b.heap, q.index)
	}
}

// drop removes the bids that match.
func (b *board) drop(matches func(*bid) bool) {
	for key, held := range b.bids {
		if !matches(held) {
			continue
		}
		if held.index >= 0 {
			b.unlist(held)
		}
		delete(b.bids, key)
	}
}
