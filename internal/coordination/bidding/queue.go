package bidding

import (
	"container/heap"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// item is a waiting request.
type item struct {
	request schedule.Request
	order   uint64
	line    *line
	// deadline is the request's own, or the end of patience of a request that
	// may not wait.
	deadline time.Time
	reason   schedule.RefusalReason
	// index holds the item's places in the heaps that list it.
	index [heapCount]int
}

// The heaps that list an item.
const (
	heapServe = iota
	heapShed
	heapDeadline
	heapCount
)

// items is a heap of waiting requests under one of the orders above.
type items struct {
	kind int
	list []*item
}

// Len is the number of items.
func (h *items) Len() int { return len(h.list) }

// Less compares in the order that the heap's kind names.
func (h *items) Less(i, j int) bool {
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
		return a.order < b.order
	}
}

func servedBefore(a, b *item) bool {
	if a.request.Nested != b.request.Nested {
		return a.request.Nested
	}
	if a.request.Urgency != b.request.Urgency {
		return a.request.Urgency > b.request.Urgency
	}
	return a.order < b.order
}

// Swap exchanges two items.
func (h *items) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index[h.kind], h.list[j].index[h.kind] = i, j
}

// Push adds an *item.
func (h *items) Push(x any) {
	added := x.(*item)
	added.index[h.kind] = len(h.list)
	h.list = append(h.list, added)
}

// Pop removes the last item.
func (h *items) Pop() any {
	n := len(h.list) - 1
	last := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return last
}

func (h *items) add(i *item) { heap.Push(h, i) }

func (h *items) remove(i *item) { heap.Remove(h, i.index[h.kind]) }

func (h *items) first() *item {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}

// backlog is what waits of one organisation in all its lines.
type backlog struct {
	shed  items
	bytes int64
}

// store holds all waiting requests.
type store struct {
	byID          map[schedule.RequestID]*item
	deadlines     items
	organisations map[string]*backlog
	bytes         int64
	arrivals      uint64
}

func newStore() store {
	return store{
		byID:          map[schedule.RequestID]*item{},
		deadlines:     items{kind: heapDeadline},
		organisations: map[string]*backlog{},
	}
}

func (s *store) add(i *item) {
	s.arrivals++
	i.order = s.arrivals
	r := &i.request
	s.byID[r.ID] = i
	if !i.deadline.IsZero() {
		s.deadlines.add(i)
	}
	b := s.organisations[r.Organisation]
	if b == nil {
		b = &backlog{shed: items{kind: heapShed}}
		s.organisations[r.Organisation] = b
	}
	b.shed.add(i)
	b.bytes += r.BodyBytes
	s.bytes += r.BodyBytes
	i.line.queue.add(i)
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
	i.line.queue.remove(i)
}

// longest is the backlog that holds most bytes, then most requests; the name
// decides between equals.
func (s *store) longest() *backlog {
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
