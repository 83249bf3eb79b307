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
	// rereadPenalty is the time that one token of a shared part counts which
	// an engine has to read although another one holds it. It makes a request
	// wait for the engine that holds its beginning as long as that is in time.
	rereadPenalty = 400 * time.Microsecond
	// strainPenalty is the time that an endpoint counts more whose streams are
	// twice as slow as they may be.
	strainPenalty = time.Second
	// endMargin is the part of the time to its deadline in which an answer must
	// be expected to end, since paces change.
	endMargin = 0.85
	// minRetry and maxRetry bound the time after which a refused caller is
	// asked to come back.
	minRetry, maxRetry = 200 * time.Millisecond, 2 * time.Second
	// unstatedObjective is used for requests without an objective.
	unstatedObjective = 2 * time.Second
)

// choice is an endpoint that could run a request.
type choice struct {
	endpoint *endpoint
	work     work
	// strain is the endpoint's; see there.
	strain float64
	// begins is when the first token is expected, from now.
	begins time.Duration
	ahead  int64
	// home is set for the endpoint that keeps the shared beginning.
	home bool
	// soon is set if the request may be sent there now.
	soon  bool
	score time.Duration
}

// better prefers what may start now, and then the lower score.
func (c *choice) better(other *choice) bool {
	return c.score < other.score
}

// scan starts what can start and refuses what cannot start in time.
func (p *Policy) scan(now time.Time, l *pool) {
	if l == nil || l.lines.len() == 0 {
		return
	}
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
		best, found := p.choose(now, l, w, loads, share)
		switch {
		case found && best.soon:
			p.start(now, w, best)
			loads[slices.Index(l.endpoints, best.endpoint)] = best.endpoint.total()
		case p.hopeless(now, w, best, found, ahead, share < 1):
			p.refuse(now, w, best, ahead)
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
// millisecond.
func (p *Policy) ownSpeed(now time.Time, l *pool) float64 {
	sum := 0.0
	for _, e := range l.endpoints {
		if p.usable(now, e) {
			sum += e.speed
		}
	}
	return max(sum, minSpeed) / float64(max(len(p.view.Routers), 1))
}

func (p *Policy) usable(now time.Time, e *endpoint) bool {
	return !e.Leaving && !now.Before(e.EjectedUntil) && !now.Before(e.standing.avoidUntil)
}

// choose returns the endpoint at which the request should begin soonest, the
// time to read again what another endpoint holds counted in.
func (p *Policy) choose(now time.Time, l *pool, w *waiter, loads []load, share float64) (choice, bool) {
	home := p.home(now, l, w)
	var best choice
	found := false
	for pass := range 2 {
		for i, e := range l.endpoints {
			// In the second pass an endpoint that has failed is better than
			// none, unless this request has been there already.
			if e.Leaving || pass == 0 && !p.usable(now, e) || slices.Contains(w.request.Tried, e.ID) {
				continue
			}
			if w.request.Exclusive && e.exclusive > 0 || w.request.Model != "" && !e.Takes(w.request.Model, now) {
				continue
			}
			c := p.weigh(now, w, e, loads[i], e == home)
			if !e.fits(loads[i], c.work) {
				continue
			}
			c.soon = p.starts(now, w, c, share)
			if !found || c.better(&best) {
				best, found = c, true
			}
		}
		if found {
			break
		}
	}
	return best, found
}

// weigh tells what the request would meet at the endpoint.
func (p *Policy) weigh(now time.Time, w *waiter, e *endpoint, l load, home bool) choice {
	c := choice{endpoint: e, work: e.workOf(now, w.request.Prompt), home: home}
	if w.request.Prompt == nil {
		// A plain service reads nothing; its queue is what counts.
		c.score = e.standing.penalty() + time.Duration(l.requests+1)*plainTime + p.distance(e) +
			time.Duration(p.random.Int64N(int64(plainTime)))
		return c
	}
	c.ahead = l.backlog + c.work.unread
	c.begins = e.begins(c.ahead)
	c.strain = max(e.strain(l), p.lateness(now, w, &c))
	c.score = c.begins + e.standing.penalty() + time.Duration(max(c.strain-1, 0)*float64(strainPenalty))
	if !home {
		shared := min(c.work.unread, sharedTokens(w.request.Prompt))
		c.score += time.Duration(shared) * rereadPenalty
	}
	return c
}

// lateness is when the answer is expected to end at the endpoint's pace, as a
// part of the time that there is for it.
func (p *Policy) lateness(now time.Time, w *waiter, c *choice) float64 {
	perEvent := p.pools[c.endpoint.Pool].tokensPerEvent
	if perEvent <= 0 {
		return 0
	}
	events := float64(w.request.Prompt.OutputTokens) / perEvent
	ends := float64(c.begins) + events*c.endpoint.pace.value
	return ends / max(endMargin*float64(w.request.Deadline.Sub(now)), 1)
}

const (
	// plainTime is the usual time of a call to a plain service.
	plainTime = 15 * time.Millisecond
	// otherDomain is what an endpoint of another FailureDomain counts more.
	otherDomain = 10 * time.Millisecond
)

// distance prefers the router's own FailureDomain where little else differs.
func (p *Policy) distance(e *endpoint) time.Duration {
	if p.domain != e.FailureDomain {
		return otherDomain
	}
	return 0
}

// home is the endpoint at which all routers look for a shared beginning
// first, by rendezvous hashing over those that can be used.
func (p *Policy) home(now time.Time, l *pool, w *waiter) *endpoint {
	if w.key == 0 {
		return nil
	}
	var best *endpoint
	var most uint64
	for _, e := range l.endpoints {
		if !p.usable(now, e) {
			continue
		}
		if s := rendezvous(w.key, e.hash); best == nil || s > most {
			best, most = e, s
		}
	}
	return best
}

func rendezvous(key, endpoint uint64) uint64 {
	h := endpoint ^ key
	// The finaliser of splitmix64 spreads what is left of the structure.
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
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

// refuse tells the caller to come back when the queue should have gone, with
// some spread so that those refused together do not return together.
func (p *Policy) refuse(now time.Time, w *waiter, c choice, ahead time.Duration) {
	whole, _ := w.objective(now)
	pause := c.begins + ahead - time.Duration(patience*float64(whole))
	pause = min(max(pause, minRetry), maxRetry)
	pause += time.Duration(p.random.Int64N(int64(pause)/2 + 1))
	p.emit(schedule.Refusal{ID: w.request.ID, Reason: schedule.RefusalOverload, RetryAt: now.Add(pause)})
}
