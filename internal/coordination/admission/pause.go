package admission

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// causePaused stands for endpoints that have all asked for time.
const causePaused refusalCause = "Paused"

// pause records that an endpoint has asked for time. Requests that wait for it are
// judged anew.
func (p *Policy) pause(now time.Time, in schedule.Pause) {
	maps.DeleteFunc(p.pauses, func(_ view.EndpointID, until time.Time) bool { return !now.Before(until) })
	if !in.Until.After(p.pauses[in.Endpoint]) || !now.Before(in.Until) {
		return
	}
	p.pauses[in.Endpoint] = in.Until
	if e := p.endpoints[in.Endpoint]; e != nil {
		e.pausedUntil = in.Until
		p.scan(now, p.pools[e.Pool])
	}
}

// takesRequests reports whether requests may be started at the endpoint: it does not
// leave and has not asked for time.
func (e *endpoint) takesRequests(now time.Time) bool {
	return !e.Leaving && !now.Before(e.pausedUntil)
}

// throughput returns the stated throughput of the pool, in tokens per second, without
// the part of endpoints that have asked for time. Endpoints that leave have no part in
// it, since others replace them.
func (l *pool) throughput(now time.Time) float64 {
	remaining, paused := 0, 0
	for _, e := range l.endpoints {
		if e.Leaving {
			continue
		}
		remaining++
		if now.Before(e.pausedUntil) {
			paused++
		}
	}
	return l.tokensPerSecond * (1 - float64(paused)/float64(max(remaining, 1)))
}

// reopensAt reports whether the request can run nowhere now because endpoints have
// asked for time: all endpoints that it has not tried and that do not leave have done
// so. It returns the earliest instant at which an endpoint takes requests. A request
// that resumes an answer waits for an endpoint, since a refusal would break the answer.
func (l *pool) reopensAt(now time.Time, w *queuedRequest) (earliest time.Time, paused bool) {
	if w.request.Resumes {
		return time.Time{}, false
	}
	for _, e := range l.endpoints {
		at := now
		switch {
		case e.Leaving:
			continue
		case now.Before(e.pausedUntil):
			at, paused = e.pausedUntil, true
		case !slices.Contains(w.request.Tried, e.ID):
			return time.Time{}, false
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, paused
}

// refusePaused refuses a request that can run nowhere because endpoints have asked for
// time, and returns false for any other. A random part is added to the time to return,
// as in refuse.
func (p *Policy) refusePaused(now time.Time, l *pool, w *queuedRequest) bool {
	at, paused := l.reopensAt(now, w)
	if !paused {
		return false
	}
	p.addUnserved(now, w)
	delay := max(at.Sub(now), minRetryDelay)
	delay += time.Duration(p.random.Int64N(int64(min(delay, maxRetryDelay))/2 + 1))
	p.emit(schedule.Refusal{
		ID: w.request.ID, Reason: schedule.RefusalOverload, RetryAt: now.Add(delay),
		Detail: fmt.Sprintf("cause=%s,waited=%v,reopens=%v", causePaused, now.Sub(w.arrived).Round(time.Millisecond), at.Sub(now).Round(time.Millisecond)),
	})
	return true
}
