package admission

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/coordination/recovery"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// causeCold stands for endpoints that are cold and have no permit left here.
	causeCold refusalCause = "Cold"
	// maxTrustedListAge is the age of the list of endpoints from which an endpoint that
	// refuses or breaks connections may have restarted without being listed as cold.
	maxTrustedListAge = 2500 * time.Millisecond
	// maxPermitAge is the time for which the permit of a request that has not been sent
	// counts. Requests that wait for a connection to the endpoint would otherwise arrive
	// together with those of later permits of their slots. With requests that arrive up to
	// 1 s after their permits, a slot still sends two in a second at most.
	maxPermitAge = 500 * time.Millisecond
	// maxPlainWaitShare is the fraction of its objective for which a request without a
	// prompt waits; see mustRefuse.
	maxPlainWaitShare = 0.5
	// maxColdPromised bounds the number of refused callers that are expected back.
	maxColdPromised = 256
)

// coldLimit limits the requests to cold endpoints.
type coldLimit struct {
	bounds     recovery.Bounds
	namesPeers bool
	counters   *recovery.Counters
	// limiter is nil as long as no pool has cold endpoints.
	limiter *recovery.Limiter
}

// coldState is the state of an endpoint that concerns its cold time.
type coldState struct {
	// perSecond and start are those of the endpoint's pool; zero if it never is cold.
	perSecond float64
	start     time.Duration
	// assumedUntil is the instant until which the endpoint is taken to be cold although it
	// is not listed so, and sequence that of its last entry.
	assumedUntil time.Time
	sequence     uint64
	// logged is set from EndpointCold until EndpointWarm, and granted is the number of
	// permits that were used meanwhile.
	logged  bool
	granted int
}

// cold reports whether the endpoint is cold.
func (e *endpoint) cold(now time.Time) bool {
	return e.coldState.perSecond > 0 && now.Before(e.coldUntil())
}

// coldUntil returns the end of the cold time.
func (e *endpoint) coldUntil() time.Time {
	if e.coldState.assumedUntil.After(e.ColdUntil) {
		return e.coldState.assumedUntil
	}
	return e.ColdUntil
}

// mayStartCold reports whether a request may be started at the endpoint as far as its
// cold time is concerned.
func (p *Policy) mayStartCold(now time.Time, e *endpoint) bool {
	return !e.cold(now) || p.cold.limiter.Available(now, e.ID, e.coldState.perSecond)
}

// changeCold processes a new view.
func (p *Policy) changeCold(now time.Time, v *view.Snapshot) {
	used := false
	for _, l := range v.Pools {
		used = used || l.ColdPerSecond > 0
	}
	if !used && p.cold.limiter == nil {
		return
	}
	if p.cold.limiter == nil {
		p.cold.limiter = recovery.New(now, p.cold.bounds, p.cold.namesPeers)
	}
	p.cold.limiter.Change(now, v, p.pulseInterval())
	for _, e := range p.endpoints {
		s := &e.coldState
		s.perSecond, s.start = v.Pools[e.Pool].ColdPerSecond, v.Pools[e.Pool].ColdStart
		if e.Sequence != s.sequence {
			// A newer entry says whether the endpoint is cold.
			s.sequence, s.assumedUntil = e.Sequence, time.Time{}
		}
	}
	p.checkCold(now)
}

// checkCold logs the endpoints that have become cold or warm.
func (p *Policy) checkCold(now time.Time) {
	if p.cold.limiter == nil {
		return
	}
	count := int64(0)
	for _, e := range p.endpoints {
		cold := e.cold(now)
		if cold {
			count++
		}
		s := &e.coldState
		switch {
		case cold && !s.logged:
			s.logged, s.granted = true, 0
			owned, all := p.cold.limiter.Owned(now, e.ID, s.perSecond)
			p.emit(schedule.Decision{Event: "EndpointCold", Fields: []string{
				"Endpoint", string(e.ID), "Sequence", strconv.FormatUint(e.Sequence, 10), "Left", e.coldUntil().Sub(now).Round(time.Millisecond).String(),
				"Assumed", strconv.FormatBool(now.Before(s.assumedUntil)), "Slots", fmt.Sprintf("%d/%d", owned, all),
			}})
		case !cold && s.logged:
			s.logged = false
			p.emit(schedule.Decision{Event: "EndpointWarm", Fields: []string{
				"Endpoint", string(e.ID), "Sequence", strconv.FormatUint(e.Sequence, 10), "Permits", strconv.Itoa(s.granted),
			}})
		}
	}
	p.cold.counters.Cold.Store(count)
}

// takePermit takes the permit for a request that starts at the endpoint, if it is cold.
func (p *Policy) takePermit(now time.Time, e *endpoint) recovery.Permit {
	if !e.cold(now) {
		return recovery.Permit{}
	}
	permit := p.cold.limiter.Take(now, e.ID, e.coldState.perSecond)
	if permit.Valid() {
		e.coldState.granted++
		p.cold.counters.Granted.Add(1)
	}
	return permit
}

// sendBy returns the instant until which a request that starts now may be sent; zero
// without a permit.
func (r *running) sendBy(now time.Time) time.Time {
	if !r.permit.Valid() {
		return time.Time{}
	}
	return now.Add(maxPermitAge)
}

// settleCold processes the end of a request: the permit of one that was not sent is
// returned, and an endpoint that refuses or breaks connections is taken to be cold if it is
// known only from an old list.
func (p *Policy) settleCold(now time.Time, r *running, in schedule.Completion) {
	if p.cold.limiter == nil {
		return
	}
	s := &r.endpoint.coldState
	if r.permit.Valid() && (in.Result == schedule.ResultNotSent || in.Result == schedule.ResultUnused) {
		p.cold.limiter.Return(r.permit)
		p.cold.counters.Granted.Add(-1)
		s.granted--
	}
	failed := in.Result == schedule.ResultNotSent || in.Result == schedule.ResultBroken
	if failed && in.ListAge > maxTrustedListAge && s.perSecond > 0 {
		s.assumedUntil = now.Add(s.start)
		p.checkCold(now)
	}
}

// refuseClosed refuses a request that can run nowhere because endpoints have asked for time
// or are cold, and returns false for any other.
func (p *Policy) refuseClosed(now time.Time, l *pool, w *queuedRequest) bool {
	return p.refusePaused(now, l, w) || p.refuseCold(now, l, w)
}

// refuseCold refuses a request that can run nowhere else than at cold endpoints without a
// permit, and returns false for any other, and for one that can wait for a permit. A random
// part is added to the time to return, as in refuse.
func (p *Policy) refuseCold(now time.Time, l *pool, w *queuedRequest) bool {
	if p.cold.limiter == nil || w.request.Resumes {
		return false
	}
	at, cold := p.permitAt(now, l, w, l.coldWaiting)
	if !cold {
		return false
	}
	total, _ := w.objective(now)
	share := maxQueueWaitShare
	if w.request.Prompt == nil {
		share = maxPlainWaitShare
	}
	if latest := w.arrived.Add(time.Duration(share * float64(total))); w.request.MayWait && !at.After(latest) {
		l.coldWaiting++
		return false
	}
	p.addUnserved(now, w)
	p.cold.counters.Refused.Add(1)
	// Callers that have been told to return come before this one.
	l.coldPromised = slices.DeleteFunc(l.coldPromised, func(at time.Time) bool { return !now.Before(at) })
	at, _ = p.permitAt(now, l, w, l.coldWaiting+len(l.coldPromised))
	if len(l.coldPromised) < maxColdPromised {
		l.coldPromised = append(l.coldPromised, at)
	}
	delay := max(at.Sub(now), minRetryDelay)
	delay += time.Duration(p.random.Int64N(int64(min(delay, maxRetryDelay))/2 + 1))
	p.emit(schedule.Refusal{
		ID: w.request.ID, Reason: schedule.RefusalOverload, RetryAt: now.Add(delay),
		Detail: fmt.Sprintf("cause=%s,waited=%v,permit=%v", causeCold, now.Sub(w.arrived).Round(time.Millisecond), at.Sub(now).Round(time.Millisecond)),
	})
	return true
}

// permitAt returns when the request can have a permit, or an endpoint is not cold any
// more. It returns false unless all endpoints that could take the request are cold and have
// no permit now.
// The given number of requests come first, evenly at all endpoints.
func (p *Policy) permitAt(now time.Time, l *pool, w *queuedRequest, before int) (at time.Time, cold bool) {
	before /= max(len(l.endpoints), 1)
	for _, e := range l.endpoints {
		if !e.takesRequests(now) || slices.Contains(w.request.Tried, e.ID) || !e.Accepts(w.request.Model, now) {
			continue
		}
		if p.mayStartCold(now, e) {
			return time.Time{}, false
		}
		next := e.coldUntil()
		if permit, ok := p.cold.limiter.NextAt(now, e.ID, e.coldState.perSecond, before); ok && permit.Before(next) {
			next = permit
		}
		if !cold || next.Before(at) {
			at, cold = next, true
		}
	}
	return at, cold
}
