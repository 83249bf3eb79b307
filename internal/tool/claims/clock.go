package claims

import (
	"container/heap"
	"time"
)

// event is a function that is due at an instant of virtual time. Events of the
// same instant run in the order of seq.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// clock is a virtual clock that runs events in the order of their instants.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

func (c *clock) at(t time.Time, do func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.events, event{t, c.seq, do})
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// run runs the events up to and including the given instant.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
