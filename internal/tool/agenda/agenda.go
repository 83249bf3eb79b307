package agenda

import (
	"container/heap"
	"time"
)

// Queue is a queue of items ordered by due time. The zero value is an empty
// queue.
type Queue[T any] struct {
	entries entries[T]
	added   int
}

type entry[T any] struct {
	at       time.Time
	sequence int
	item     T
}

// Add adds an item that is due at the given time.
func (q *Queue[T]) Add(at time.Time, item T) {
	q.added++
	heap.Push(&q.entries, entry[T]{at, q.added, item})
}

// PopDue removes and returns the earliest item if it is due no later than until.
func (q *Queue[T]) PopDue(until time.Time) (at time.Time, item T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at.After(until) {
		return at, item, false
	}
	e := heap.Pop(&q.entries).(entry[T])
	return e.at, e.item, true
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is called by package heap.
func (e *entries[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

// Pop is called by package heap.
func (e *entries[T]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
