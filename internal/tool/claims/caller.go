package claims

import (
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
)

// request is one idempotency key with all sends of its request.
type request struct {
	key   claim.Digest
	runs  int
	sends int
	// outcome is the final outcome as the caller knows it.
	outcome  coordination.Outcome
	answered bool
	// openSends is the number of sends whose caller still waits for an answer.
	openSends int
}

// attempt is one send of a request through one router.
type attempt struct {
	request *request
	router  *router
	// first is set if the caller states that no send came before this one.
	first bool
	done  bool
}

// sendRequest sends the request through a random router. After a time-out or a
// refusal the request is sent again, until it is answered or Options.MaxSends is
// reached. The fault duplicateSend sends the request twice at the same time; then
// neither send may state that it is the first.
func (w *world) sendRequest(q *request) {
	if q.answered || q.sends >= w.options.MaxSends {
		return
	}
	duplicate := w.chance(w.faults.duplicateSend)
	w.sendOnce(q, q.sends == 0 && !duplicate)
	if duplicate {
		w.sendOnce(q, false)
	}
}

func (w *world) sendOnce(q *request, first bool) {
	q.sends++
	q.openSends++
	if !q.answered {
		q.outcome = coordination.OutcomeUnknown
	}
	a := &attempt{request: q, router: w.routers[w.random.IntN(len(w.routers))], first: first}
	a.router.schedule(w.jitter(networkDelay), func() { a.router.arrive(a) })
	w.clock.after(callerTimeout, func() {
		if a.done {
			return
		}
		a.done = true
		q.openSends--
		a.router.schedule(w.jitter(networkDelay), func() { a.router.cancel(a) })
		w.retry(q)
	})
}

// sendLate sends a request once more, long after it should have been answered.
// It waits until no other send is open, since a caller that marks a send as
// the first must not have another one open at the same time.
func (w *world) sendLate(q *request) {
	if q.openSends > 0 {
		w.clock.after(callerTimeout, func() { w.sendLate(q) })
		return
	}
	if q.sends < w.options.MaxSends {
		w.sendOnce(q, q.sends == 0)
	}
}

func (w *world) retry(q *request) {
	w.clock.after(w.randomUpTo(500*time.Millisecond), func() { w.sendRequest(q) })
}

// answer reports the outcome of a request to its caller, unless the answer is
// lost, and checks the outcome against the number of runs.
func (w *world) answer(r *router, a *attempt, o coordination.Outcome) {
	if w.chance(w.faults.answerLost) {
		return
	}
	// OutcomeNotRun only states that the request had not run when the router
	// refused it. A resend may run while the answer is on its way.
	ranBefore := a.request.runs > 0
	w.clock.after(w.jitter(networkDelay), func() {
		if a.done {
			return
		}
		a.done = true
		a.request.openSends--
		if o == coordination.OutcomeRan {
			w.check(a.request.runs == 1, "answered, but not run exactly once", a.request)
			a.request.outcome, a.request.answered = o, true
			return
		}
		w.check(!ranBefore || o != coordination.OutcomeNotRun, "refused as not run, although it had run", a.request)
		if !a.request.answered {
			a.request.outcome = o
		}
		w.retry(a.request)
	})
}
