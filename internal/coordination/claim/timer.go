package claim

import (
	"container/heap"
	"time"

	"hyssopreach/internal/state/claim"
)

// timer is an instant at which an attempt has a claim request to send or
// reaches its deadline.
type timer struct {
	at time.Time
	id claim.ID
}

// timerQueue returns timers in order of their instants. A timer is stale if its
// attempt has been scheduled for another instant since; the caller detects that
// by comparing the instants.
type timerQueue struct{ heap timerHeap }

func (q *timerQueue) push(d timer) { heap.Push(&q.heap, d) }

// pop removes and returns the next timer that is due.
func (q *timerQueue) pop(now time.Time) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// first returns the earliest instant; zero if there is none.
func (q *timerQueue) first() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].at
}

// timerHeap implements heap.Interface.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
