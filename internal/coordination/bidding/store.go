package bidding

import (
	"container/heap"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// item is a waiting request.
type item struct {
	request schedule.Request
	arrival uint64
	queue   *requestQueue
	// deadline is the request's own deadline, or an earlier end of noWaitTimeout
	// for a request that may not wait.
	deadline time.Time
	reason   schedule.RefusalReason // for the refusal at the deadline
	// index holds the item's position in each heap that contains it.
	index [heapCount]int
}

// The kinds of heap that contain an item.
const (
	heapServe = iota
	heapShed
	heapDeadline
	heapCount
)

// itemHeap is a heap of waiting requests in the order of its kind.
type itemHeap struct {
	kind int
	list []*item
}

// Len is the number of items.
func (h *itemHeap) Len() int { return len(h.list) }

// Less compares two items in the order of the heap's kind.
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	switch h.kind {
	case heapServe:
		return servedBefore(a, b)
	case heapShed:
		return servedBefore(b, a)
	default:
		if !a.deadline.Equal(b.deadline) {
			return a.deadline.Before(b.deadline)
		}
		return a.arrival < b.arrival
	}
}

func servedBefore(a, b *item) bool {
	if a.request.Nested != b.request.Nested {
		return a.request.Nested
	}
	if a.request.Urgency != b.request.Urgency {
		return a.request.Urgency > b.request.Urgency
	}
	return a.arrival < b.arrival
}

// Swap exchanges two items.
func (h *itemHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index[h.kind], h.list[j].index[h.kind] = i, j
}

// Push adds an *item.
func (h *itemHeap) Push(x any) {
	added := x.(*item)
	added.index[h.kind] = len(h.list)
	h.list = append(h.list, added)
}

// Pop removes the last item.
func (h *itemHeap) Pop() any {
	n := len(h.list) - 1
	last := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return last
}

func (h *itemHeap) add(i *item) { heap.Push(h, i) }

func (h *itemHeap) remove(i *item) { heap.Remove(h, i.index[h.kind]) }

func (h *itemHeap) first() *item {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}

// backlog holds the waiting requests of one organisation in all its queues.
type backlog struct {
	// shed lists the requests in the order in which they are shed.
	shed  itemHeap
	bytes int64
}

// store holds all waiting requests.
type store struct {
	byID          map[schedule.RequestID]*item
	deadlines     itemHeap
	organisations map[string]*backlog
	bytes         int64
	arrivals      uint64
}

func newStore() store {
	return store{
		byID:          map[schedule.RequestID]*item{},
		deadlines:     itemHeap{kind: heapDeadline},
		organisations: map[string]*backlog{},
	}
}

func (s *store) add(i *item) {
	s.arrivals++
	i.arrival = s.arrivals
	r := &i.request
	s.byID[r.ID] = i
	if !i.deadline.IsZero() {
		s.deadlines.add(i)
	}
	b := s.organisations[r.Organisation]
	if b == nil {
		b = &backlog{shed: itemHeap{kind: heapShed}}
		s.organisations[r.Organisation] = b
	}
	b.shed.add(i)
	b.bytes += r.BodyBytes
	s.bytes += r.BodyBytes
	i.queue.waiting.add(i)
}

func (s *store) remove(i *item) {
	r := &i.request
	delete(s.byID, r.ID)
	if !i.deadline.IsZero() {
		s.deadlines.remove(i)
	}
	b := s.organisations[r.Organisation]
	b.shed.remove(i)
	b.bytes -= r.BodyBytes
	s.bytes -= r.BodyBytes
	if b.shed.Len() == 0 {
		delete(s.organisations, r.Organisation)
	}
	i.queue.waiting.remove(i)
}

// largest is the backlog with most bytes; among equals that with most requests,
// then that whose organisation comes first by name.
func (s *store) largest() *backlog {
	var best *backlog
	var bestName string
	for name, b := range s.organisations {
		if best == nil || b.bytes > best.bytes ||
			b.bytes == best.bytes && (b.shed.Len() > best.shed.Len() ||
				b.shed.Len() == best.shed.Len() && name < bestName) {
			best, bestName = b, name
		}
	}
	return best
}
