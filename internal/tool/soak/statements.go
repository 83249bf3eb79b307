package soak

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// pauseProbability is the probability that an endpoint turns a request away and
	// asks for time, between minPause and maxPause.
	pauseProbability   = 0.01
	minPause, maxPause = 700 * time.Millisecond, 2 * time.Second
	// Later than pauseNotice after such an answer, not more than maxDuringPause requests
	// may reach the endpoint from the same router until the end of that time.
	pauseNotice    = 500 * time.Millisecond
	maxDuringPause = 2
	// endpointStream separates the random numbers of endpoints from those of callers.
	endpointStream = 1 << 32
)

// pausePeriod is a time that an endpoint has asked a router for, and the number of
// requests that have arrived meanwhile.
type pausePeriod struct {
	from, until time.Time
	arrivals    int
}

// statement is what an endpoint has stated to a router.
type statement struct {
	instance string
	router   int
}

// leaving reports whether the instance has announced that it leaves.
func (e *endpoint) leaving(s *instance) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !s.leavingSince.IsZero()
}

// turnsAway counts the arrival of a request, which is nil if no caller has sent it. At
// random, it turns the request away, asks its router for time and returns true.
func (e *endpoint) turnsAway(s *instance, w http.ResponseWriter, req *sentRequest) bool {
	if req == nil {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countArrival(s, req, now)
	if e.random.Float64() >= pauseProbability {
		return false
	}
	period := minPause + time.Duration(e.random.Int64N(int64(maxPause-minPause)))
	s.pauses[req.Router] = append(s.pauses[req.Router], pausePeriod{from: now, until: now.Add(period)})
	names := e.dialect.HeaderNames()
	w.Header().Set(names.NotRun, "1")
	w.Header().Set(names.RetryAfter, strconv.FormatFloat(period.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// countArrival counts a request against the times that the endpoint has asked its router
// for. Too many are a violation, unless a fault of the router since then, or of the
// connections to the endpoint, may have lost the answer. Such a fault may be over by
// then: the answer to a request that was held up may find its connection closed. It
// requires that mu is held.
func (e *endpoint) countArrival(s *instance, req *sentRequest, now time.Time) {
	pauses := s.pauses[req.Router]
	for i := range pauses {
		p := &pauses[i]
		if now.Before(p.from.Add(pauseNotice)) || now.After(p.until) {
			continue
		}
		p.arrivals++
		quietFrom := p.from.Add(-quietPeriod)
		linkQuiet := e.linkFaults == 0 && e.linkFaultEnd.Before(quietFrom) && e.linkReset.Before(quietFrom)
		if p.arrivals == maxDuringPause+1 && linkQuiet && e.steadySince(req.Router, p.from) {
			e.checker.recordViolation("pause", "%d requests of router %d reached endpoint %s within %v after it had asked for %v, the last one was %s",
				p.arrivals, req.Router, s.id, now.Sub(p.from), p.until.Sub(p.from), req.ID)
		}
	}
}

// steadySince reports whether the router has been free of faults since the instant.
func (s *Soak) steadySince(router int, at time.Time) bool {
	r := s.routers[router]
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kills == 0 && r.pausedAt.IsZero() && r.faultEnd.Before(at)
}

// recordLeavingAnswer records that a router has passed on an answer in which an
// endpoint states that it leaves.
func (s *Soak) recordLeavingAnswer(instance string, router int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key := (statement{instance, router}); s.leavingAnswers[key].IsZero() {
		s.leavingAnswers[key] = now
	}
}

// checkLeavingAnswer checks a run at an endpoint that may have stated in an answer
// that it leaves. It is a violation if the request was sent longer after the same router
// had passed on such an answer than the bound allows, unless the router has been
// started since.
func (s *Soak) checkLeavingAnswer(instance string, req *sentRequest) {
	s.mu.Lock()
	at := s.leavingAnswers[statement{instance, req.Router}]
	s.mu.Unlock()
	if at.IsZero() || !req.SentAt.After(at.Add(drainTime)) {
		return
	}
	r := s.routers[req.Router]
	r.mu.Lock()
	restarted := r.kills > 0 || r.startedAt.After(at)
	r.mu.Unlock()
	if !restarted {
		s.Checker.recordViolation("leaving", "%s began to run at endpoint %s, it was sent %v after router %d had passed on an answer in which the endpoint states that it leaves",
			req.ID, instance, req.SentAt.Sub(at), req.Router)
	}
}
