package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const pauseTokensPerSecond = 100_000

// pause lets an engine ask for time until the given instant.
func (w *simulation) pause(engine int, until time.Time) {
	w.input(schedule.Pause{Endpoint: w.engines[engine].ID, Until: until})
}

// TestNothingStartsAtPausedEndpoint guards against requests that are started at an
// endpoint which has asked for time, also while it asks again and again, after a list
// that lacks it, or since it is the only one that is not avoided, and against an endpoint
// that gets nothing after it.
func TestNothingStartsAtPausedEndpoint(t *testing.T) {
	is := is.New(t)
	w := newSimulation(2, pauseTokensPerSecond)
	for range 12 {
		w.send("o", 20_000)
	}
	before := w.startsByEngine["e0"]
	is.True(before > 0 && before+w.startsByEngine["e1"] < 12) // some wait
	w.policy.endpoints["e1"].health.avoidUntil = w.now.Add(time.Minute)
	var until time.Time
	all := w.engines
	for range 4 {
		w.engines = all[1:]
		w.setView(pauseTokensPerSecond)
		until = w.now.Add(time.Second)
		w.engines = all
		w.pause(0, until)
		w.setView(pauseTokensPerSecond)
		for range 9 {
			w.send("o", 1000)
			w.advance(100 * time.Millisecond)
			is.Equal(w.startsByEngine["e0"], before)
		}
	}
	is.True(w.startsByEngine["e1"] >= 30) // the other one is better than none
	// A request that waits at the end of the pause starts with the next scan.
	w.policy.endpoints["e1"].Leaving = true
	w.advance(until.Sub(w.now) + testStep)
	w.send("o", 1000)
	w.advance(scanInterval)
	is.Equal(w.startsByEngine["e0"], before+1)
}

// TestRequestsAreRefusedAtOnceWhileAllEndpointsPause guards against requests that wait
// for endpoints which have all asked for time, and against callers that are asked to
// return earlier, or all at once. A request that resumes an answer waits.
func TestRequestsAreRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	is := is.New(t)
	w := newSimulation(3, pauseTokensPerSecond)
	for range 12 {
		w.send("o", 15_000)
	}
	waiting := w.policy.pools["p"].queue.len()
	is.True(waiting > 0)
	w.refusals = nil
	first := w.now.Add(3 * time.Second)
	w.pause(0, first.Add(time.Second))
	w.pause(1, first)
	is.Equal(len(w.refusals), 0)
	engines := slices.Clone(w.engines)
	engines[2].Leaving = true
	w.engines = engines
	w.setView(pauseTokensPerSecond)
	w.advance(minScanInterval)
	is.Equal(len(w.refusals), waiting)
	for range 20 {
		w.send("p", 1000)
	}
	is.Equal(len(w.refusals), waiting+20)
	instants := map[time.Time]bool{}
	for _, r := range w.refusals {
		is.Equal(r.Reason, schedule.RefusalOverload)
		is.True(!r.RetryAt.Before(first))
		is.True(r.RetryAt.Before(first.Add(maxRetryDelay)))
		instants[r.RetryAt] = true
	}
	is.True(len(instants) > 20) // spread

	resumed := schedule.Request{
		ID: 1000, Organisation: "o", Pool: "p", MayWait: true, Objective: first.Add(2 * objective), Deadline: w.now.Add(deadline),
		Resumes: true, Prompt: &schedule.Prompt{InputTokens: 1000, OutputTokens: 10},
	}
	w.requests[resumed.ID], w.arrived[resumed.ID] = &resumed, w.now
	refused := len(w.refusals)
	w.input(schedule.Arrival{Request: resumed})
	is.Equal(len(w.refusals), refused)
}

// TestTriedEndpointsDoNotKeepRequestWaiting guards against a request that waits for an
// endpoint which has asked for time after it was rejected by all others, and against a
// caller that is told to stay away although these take requests.
func TestTriedEndpointsDoNotKeepRequestWaiting(t *testing.T) {
	is := is.New(t)
	w := newSimulation(2, pauseTokensPerSecond)
	w.pause(0, w.now.Add(time.Minute))
	r := &schedule.Request{
		ID: 1, Organisation: "o", Pool: "p", MayWait: true, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		Tried: []view.EndpointID{"e1"}, Prompt: &schedule.Prompt{InputTokens: 1000, OutputTokens: 10},
	}
	w.requests[r.ID], w.arrived[r.ID] = r, w.now
	w.input(schedule.Arrival{Request: *r})
	is.Equal(len(w.refusals), 1)
	is.True(w.refusals[0].RetryAt.Before(w.now.Add(maxRetryDelay)))
}

// TestAttemptWithheldFromPausedEndpointIsNoFailure guards against an endpoint that is avoided after its
// pause, since attempts that waited for a connection were not written because of it.
func TestAttemptWithheldFromPausedEndpointIsNoFailure(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, pauseTokensPerSecond)
	for range 6 {
		w.send("o", 100)
	}
	is.Equal(w.started["o"], 6)
	until := w.now.Add(time.Second)
	w.pause(0, until)
	for _, r := range w.runs {
		w.input(schedule.Completion{ID: r.id, Result: schedule.ResultNotSent})
	}
	w.runs = nil
	w.advance(until.Sub(w.now))
	w.send("o", 100)
	is.Equal(w.started["o"], 7)
	is.True(w.policy.usable(w.now, w.policy.endpoints["e0"]))
}
