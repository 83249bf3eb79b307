package claims

import (
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
)

// request is one key with all its sends.
type request struct {
	key   claim.Digest
	runs  int
	sends int
	// told is what the caller knows in the end.
	told coordination.Outcome
	over bool
	// open is the number of sends whose caller still waits.
	open int
}

// caller is one send of a request.
type caller struct {
	request *request
	router  *router
	first   bool
	done    bool
}

// send sends the request through a router and sends it again through another
// one until it is answered or the sends are used up.
func (w *world) sendRequest(q *request) {
	if q.over || q.sends >= w.options.Sends {
		return
	}
	twice := w.chance(w.faults.callerTwice)
	w.sendOnce(q, q.sends == 0 && !twice)
	if twice {
		w.sendOnce(q, false)
	}
}

func (w *world) sendOnce(q *request, first bool) {
	q.sends++
	q.open++
	if !q.over {
		q.told = coordination.OutcomeUnknown
	}
	c := &caller{request: q, router: w.routers[w.random.IntN(len(w.routers))], first: first}
	c.router.later(w.spread(networkDelay), func() { c.router.arrive(c) })
	w.clock.after(callerTimeout, func() {
		if c.done {
			return
		}
		c.done = true
		q.open--
		c.router.later(w.spread(networkDelay), func() { c.router.abandon(c) })
		w.sendAgain(q)
	})
}

// sendLate sends a request once more, long after its caller should have been
// content. It waits for the sends under way, since a caller that says of one
// that it is the first does not send another beside it.
func (w *world) sendLate(q *request) {
	if q.open > 0 {
		w.clock.after(callerTimeout, func() { w.sendLate(q) })
		return
	}
	if q.sends < w.options.Sends {
		w.sendOnce(q, q.sends == 0)
	}
}

func (w *world) sendAgain(q *request) {
	w.clock.after(w.upTo(500*time.Millisecond), func() { w.sendRequest(q) })
}

// answer tells a caller how its request ended, unless the answer is lost.
func (w *world) answer(r *router, c *caller, o coordination.Outcome) {
	if w.chance(w.faults.answerLost) {
		return
	}
	ran := c.request.runs > 0
	w.clock.after(w.spread(networkDelay), func() {
		if c.done {
			return
		}
		c.done = true
		c.request.open--
		if o == coordination.OutcomeRan {
			w.check(c.request.runs == 1, "answered without a run", c.request)
			c.request.told, c.request.over = o, true
			return
		}
		w.check(!ran || o != coordination.OutcomeNotRun, "refused as not run after a run", c.request)
		if !c.request.over {
			c.request.told = o
		}
		w.sendAgain(c.request)
	})
}
