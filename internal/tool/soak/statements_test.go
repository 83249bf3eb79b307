package soak

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsDuringPauseAreCounted guards against a soak that misses requests to an
// endpoint which has asked their router for time.
func TestRequestsDuringPauseAreCounted(t *testing.T) {
	is := is.New(t)
	s := &Soak{Checker: newChecker(), routers: []*router{{}, {}}}
	now := time.Now()
	count := func(e *endpoint, i *instance, router int, after time.Duration, arrivals int) int {
		before, _, _, _ := s.Checker.Report()
		for range arrivals {
			e.countArrival(i, &sentRequest{Router: router}, now.Add(after))
		}
		violations, _, _, _ := s.Checker.Report()
		return len(violations) - len(before)
	}
	paused := func() (*endpoint, *instance) {
		return &endpoint{checker: s.Checker, steadySince: s.steadySince}, &instance{pauses: map[int][]pausePeriod{0: {{from: now, until: now.Add(2 * time.Second)}}}}
	}
	e, i := paused()
	is.Equal(count(e, i, 0, pauseNotice/2, 9), 0)   // under way
	is.Equal(count(e, i, 0, 3*time.Second, 9), 0)   // later
	is.Equal(count(e, i, 1, time.Second, 9), 0)     // of another router
	is.Equal(count(e, i, 0, time.Second, 2), 0)     // as many as may
	is.Equal(count(e, i, 0, 3*time.Second/2, 9), 1) // reported once
	e, i = paused()
	e.linkFaultBegins()
	is.Equal(count(e, i, 0, time.Second, 9), 0) // the answer may have been lost
	e, i = paused()
	e.linkFaultBegins()
	e.linkFaultEnds(now.Add(-50 * time.Millisecond))
	is.Equal(count(e, i, 0, time.Second, 9), 0) // the request may have been held up
	e, i = paused()
	e.linkFaultBegins()
	e.linkFaultEnds(now.Add(-quietPeriod - time.Millisecond))
	is.Equal(count(e, i, 0, time.Second, 9), 1)
	e, i = paused()
	e.linkReset = now.Add(time.Millisecond)
	is.Equal(count(e, i, 0, time.Second, 9), 0)
	e, i = paused()
	s.routers[0].faultEnd = now.Add(100 * time.Millisecond)
	is.Equal(count(e, i, 0, time.Second, 9), 0)
	is.True(!e.turnsAway(i, httptest.NewRecorder(), nil))
}

// TestRequestAfterLeavingAnswerIsViolation guards against a soak that misses requests to
// an endpoint after their router has passed on an answer in which it states that it
// leaves, or that takes those of a router that has been started since for one.
func TestRequestAfterLeavingAnswerIsViolation(t *testing.T) {
	is := is.New(t)
	s := &Soak{Checker: newChecker(), routers: []*router{{}, {}}, leavingAnswers: map[statement]time.Time{}}
	now := time.Now()
	s.recordLeavingAnswer("e", 0, now)
	s.recordLeavingAnswer("e", 0, now.Add(time.Minute)) // the first one counts
	run := func(instance string, router int, after time.Duration) int {
		s.checkLeavingAnswer(instance, &sentRequest{Router: router, SentAt: now.Add(after)})
		violations, _, _, _ := s.Checker.Report()
		return len(violations)
	}
	is.Equal(run("e", 0, drainTime-time.Millisecond), 0)
	is.Equal(run("e", 1, drainTime+time.Second), 0)
	is.Equal(run("other", 0, drainTime+time.Second), 0)
	is.Equal(run("e", 0, drainTime+time.Millisecond), 1)
	s.routers[0].startedAt = now.Add(time.Second)
	is.Equal(run("e", 0, drainTime+time.Millisecond), 1)
}
