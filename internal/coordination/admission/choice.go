package admission

import (
	"slices"
	"time"
)

const (
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
	// plainTime is the usual time of a call to a plain service.
	plainTime = 15 * time.Millisecond
	// otherDomain is what an endpoint of another FailureDomain counts more.
	otherDomain = 10 * time.Millisecond
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

// usable reports whether the endpoint should get work.
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
			if !found || c.score < best.score {
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

// rendezvous is the rank of an endpoint for a key.
func rendezvous(key, endpoint uint64) uint64 {
	h := endpoint ^ key
	// The finaliser of splitmix64 spreads what is left of the structure.
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
