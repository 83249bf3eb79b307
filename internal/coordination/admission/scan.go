package admission

import (
	"fmt"
	"math"
	"slices"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// noEndpointPause is how long a caller is asked to stay away when no
	// endpoint is known.
	noEndpointPause = time.Second
	// depthShare is the part of its objective for which a request may queue
	// at an engine. What would queue for longer waits here, where requests of
	// other organisations can still go before it.
	depthShare = 0.55
	// leastRoom bounds how far an organisation above its share is held back,
	// so that capacity is used where nobody else asks for it.
	leastRoom = 0.45
	// excessWait is the part of its objective for which such a request waits
	// here before it is refused, and patience the same for one that finds no
	// endpoint with room.
	excessWait = 0.125
	patience   = 0.3
	// startMargin is the part of the time left to the objective in which the
	// first token must be expected, since expectations err.
	startMargin = 0.9
	// minRetry and maxRetry bound the time after which a refused caller is
	// asked to come back.
	minRetry, maxRetry = 200 * time.Millisecond, 2 * time.Second
	// unstatedObjective is used for requests without an objective.
	unstatedObjective = 2 * time.Second
)

// scan starts what can start and refuses what cannot start in time.
func (p *Policy) scan(now time.Time, l *pool) {
	if l == nil || l.lines.len() == 0 {
		return
	}
	if l.lines.len() > 1 && now.Sub(l.scannedAt) < scanPause {
		l.changed = true
		return
	}
	l.scannedAt, l.changed = now, false
	all := p.usage.fleet(now)
	level := fairLevel(all, l.tokensPerSecond)
	l.lines.order(all, level)
	loads := make([]load, len(l.endpoints))
	for i, e := range l.endpoints {
		loads[i] = e.total()
	}
	// ahead is the time that the requests earlier in the order will take.
	ahead := time.Duration(0)
	speed := p.ownSpeed(now, l)
	kept := l.lines.waiting[:0]
	for _, w := range l.lines.waiting {
		share := room(all[w.request.Organisation].received, level)
		if w.request.Resumes {
			// What its organisation has had of it would be lost.
			share = 1
		}
		best, found := p.choose(now, l, w, loads, share)
		switch {
		case found && best.soon:
			p.start(now, w, best)
			loads[slices.Index(l.endpoints, best.endpoint)] = best.endpoint.total()
		case p.hopeless(now, w, best, found, ahead, share < 1):
			p.refuse(now, w, best, ahead, describe(now, w, best, found, ahead, share))
		default:
			if w.request.Prompt != nil {
				ahead += time.Duration(float64(best.work.unread) / speed * float64(time.Millisecond))
			}
			kept = append(kept, w)
		}
	}
	clear(l.lines.waiting[len(kept):])
	l.lines.waiting = kept
}

// ownSpeed is this router's part of the pool's reading speed, in tokens per
// millisecond: its part of what is asked for, since callers may all come to
// one router, but an even part at the least.
func (p *Policy) ownSpeed(now time.Time, l *pool) float64 {
	sum := 0.0
	for _, e := range l.endpoints {
		if p.usable(now, e) {
			sum += e.speed
		}
	}
	even := 1 / float64(max(len(p.view.Routers), 1))
	return max(sum, minSpeed) * max(p.usage.part, even)
}

// objective is the time that the request was given until its answer begins,
// and what is left of it.
func (w *waiter) objective(now time.Time) (whole, left time.Duration) {
	at := w.request.Objective
	if at.IsZero() {
		at = w.arrived.Add(unstatedObjective)
	}
	if at.After(w.request.Deadline) {
		at = w.request.Deadline
	}
	return at.Sub(w.arrived), at.Sub(now)
}

// room is the part of what an engine may be loaded with that an organisation
// may fill: all of it up to its share, and less the further it is above, so
// that of two that ask for more than their shares the one that has had less
// finds room first.
func room(received, level float64) float64 {
	if received <= level {
		return 1
	}
	return max(leastRoom, math.Sqrt(level/received))
}

// starts reports whether the request should be sent to the choice now.
func (p *Policy) starts(now time.Time, w *waiter, c choice, share float64) bool {
	if w.request.Prompt == nil {
		return true
	}
	whole, left := w.objective(now)
	if c.strain >= share {
		return false
	}
	own := c.endpoint.begins(c.work.unread)
	return c.begins <= max(time.Duration(share*depthShare*float64(whole)), own) &&
		c.begins <= max(time.Duration(startMargin*float64(left)), own)
}

// hopeless reports whether the request is to be refused: it cannot begin by
// its objective after what goes before it.
func (p *Policy) hopeless(now time.Time, w *waiter, c choice, found bool, ahead time.Duration, excess bool) bool {
	if !w.request.MayWait {
		return true
	}
	whole, left := w.objective(now)
	if w.request.Prompt == nil {
		return w.request.Deadline.Sub(now) < plainTime || now.Sub(w.arrived) > whole/2
	}
	if !found {
		return now.Sub(w.arrived) > time.Duration(patience*float64(whole))
	}
	if (excess || c.strain >= 1) && now.Sub(w.arrived) > time.Duration(excessWait*float64(whole)) {
		return true
	}
	return c.begins+ahead > left
}

func (p *Policy) start(now time.Time, w *waiter, c choice) {
	r := &running{request: w.request, endpoint: c.endpoint, work: c.work, ahead: c.ahead}
	p.running[w.request.ID] = r
	c.endpoint.start(now, r)
	p.usage.take(now, w.request.Organisation, w.cost)
	p.emit(schedule.Start{
		ID: w.request.ID, Endpoint: c.endpoint.ID,
		Reason: fmt.Sprintf("waited=%v,begins=%v,ahead=%d,unread=%d,home=%t,speed=%.0f,pace=%v,output=%d",
			now.Sub(w.arrived).Round(time.Millisecond), c.begins.Round(time.Millisecond), c.ahead, c.work.unread, c.home, c.endpoint.speed,
			time.Duration(c.endpoint.pace.value).Round(time.Millisecond), outputTokens(w.request.Prompt)),
	})
}

// describe tells what a request met that is refused.
func describe(now time.Time, w *waiter, c choice, found bool, ahead time.Duration, share float64) string {
	waited := now.Sub(w.arrived).Round(time.Millisecond)
	if !found {
		return fmt.Sprintf("waited=%v,room=none,share=%.2f", waited, share)
	}
	return fmt.Sprintf("waited=%v,endpoint=%s,begins=%v,ahead=%d,queue=%v,strain=%.2f,share=%.2f",
		waited, c.endpoint.ID, c.begins.Round(time.Millisecond), c.ahead, ahead.Round(time.Millisecond), c.strain, share)
}

// RetryWhenFull is when a caller should come back whose organisation has
// MaxLine requests waiting; these are started or refused within about minRetry.
// The spread, 0 to 1, is drawn anew for each caller.
func RetryWhenFull(now time.Time, spread float64) time.Time {
	return now.Add(minRetry + time.Duration(spread*float64(minRetry)))
}

// refuse tells the caller to come back when the queue should have gone, with
// some spread so that those refused together do not return together.
func (p *Policy) refuse(now time.Time, w *waiter, c choice, ahead time.Duration, detail string) {
	whole, _ := w.objective(now)
	pause := c.begins + ahead - time.Duration(patience*float64(whole))
	pause = min(max(pause, minRetry), maxRetry)
	pause += time.Duration(p.random.Int64N(int64(pause)/2 + 1))
	p.emit(schedule.Refusal{ID: w.request.ID, Reason: schedule.RefusalOverload, RetryAt: now.Add(pause), Detail: detail})
}
