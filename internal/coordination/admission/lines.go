package admission

import (
	"cmp"
	"slices"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// waiter is a request that waits for a place.
type waiter struct {
	request schedule.Request
	arrived time.Time
	// cost counts against the organisation's share, in tokens.
	cost float64
	// key names the shared beginning of the prompt; zero for none.
	key uint64
}

// lines are the waiting requests of a pool.
type lines struct {
	waiting []*waiter
}

func newLines() lines { return lines{} }

// of returns how many requests of the organisation wait.
func (l *lines) of(organisation string) int {
	n := 0
	for _, w := range l.waiting {
		if w.request.Organisation == organisation {
			n++
		}
	}
	return n
}

func (l *lines) len() int { return len(l.waiting) }

func (l *lines) add(w *waiter) { l.waiting = append(l.waiting, w) }

func (l *lines) remove(id schedule.RequestID) bool {
	before := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waiter) bool { return w.request.ID == id })
	return len(l.waiting) < before
}

// order sorts the requests: nested calls first, whose parents hold capacity,
// then those of organisations below their share, then by how much their
// organisations have received, and by arrival within an organisation.
func (l *lines) order(all map[string]use, level float64) {
	slices.SortStableFunc(l.waiting, func(a, b *waiter) int {
		if a.request.Nested != b.request.Nested {
			if a.request.Nested {
				return -1
			}
			return 1
		}
		if a.request.Organisation != b.request.Organisation {
			x, y := all[a.request.Organisation].received, all[b.request.Organisation].received
			if order := cmp.Compare(boolean(x >= level), boolean(y >= level)); order != 0 {
				return order
			}
			if order := cmp.Compare(x, y); order != 0 {
				return order
			}
		}
		if order := cmp.Compare(b.request.Urgency, a.request.Urgency); order != 0 {
			return order
		}
		return a.arrived.Compare(b.arrived)
	})
}

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}
