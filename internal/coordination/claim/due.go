package claim

import (
	"container/heap"
	"time"

	"hyssopreach/internal/state/claim"
)

// due is an instant at which an attempt needs attention.
type due struct {
	at time.Time
	id claim.ID
}

// dueQueue gives out instants in order. Entries that have been overtaken by a
// later one for the same attempt are told by comparing instants.
type dueQueue struct{ heap dueHeap }

func (q *dueQueue) push(d due) { heap.Push(&q.heap, d) }

// pop returns the next entry that is due.
func (q *dueQueue) pop(now time.Time) (due, bool) {
	if len(q.heap) == 0 || q.heap[0].at.After(now) {
		return due{}, false
	}
	return heap.Pop(&q.heap).(due), true
}

// first returns the earliest instant; zero if there is none.
func (q *dueQueue) first() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].at
}

// dueHeap implements heap.Interface.
type dueHeap []due

// Len implements heap.Interface.
func (h dueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dueHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
