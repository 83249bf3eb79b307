package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// resume sends a request that continues an answer of the organisation, which its
// caller holds a part of, and returns its ID.
func (w *simulation) resume(organisation string, tokens int64, objective time.Duration, tried ...view.EndpointID) schedule.RequestID {
	w.last++
	r := &schedule.Request{
		ID: w.last, Organisation: organisation, Pool: "p", MayWait: true, Resumes: true, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		Prompt: &schedule.Prompt{InputTokens: tokens, OutputTokens: 100}, Tried: tried,
	}
	w.requests[r.ID], w.arrived[r.ID] = r, w.now
	w.input(schedule.Arrival{Request: *r})
	return r.ID
}

// endRuns ends all requests in flight.
func (w *simulation) endRuns() {
	runs := w.runs
	w.runs = nil
	for _, r := range runs {
		w.input(schedule.Completion{ID: r.id, Result: schedule.ResultFinished})
	}
}

// TestContinuationIsNeverRefused guards against a stream that had begun and that
// the router itself ends, because it refuses its continuation like a new request.
func TestContinuationIsNeverRefused(t *testing.T) {
	for _, test := range []struct {
		name string
		// fill takes the capacity away, so that a new request of organisation "o" is
		// refused.
		fill func(w *simulation)
	}{
		{"queue full", func(w *simulation) {
			w.fillSlots()
			for range MaxQueuedRequests {
				w.send("o", 100)
			}
		}},
		{"no room", func(w *simulation) { w.fillSlots() }},
		{"late", func(w *simulation) {
			for range 4 {
				w.send("p", 200_000)
			}
		}},
		{"saturated", func(w *simulation) {
			for _, e := range w.policy.endpoints {
				e.measured.add(w.now, schedule.Samples{Count: 100, EventInterval: 3 * maxEventInterval, LongestGap: 3 * maxEventGap})
				e.own.requests = 1
			}
		}},
		{"above the fair rate", func(w *simulation) {
			w.fillSlots()
			w.policy.usage.addReceived(w.now, "o", 3_000_000)
			w.policy.usage.addRequested(w.now, "o", 3_000_000)
			w.policy.usage.addRequested(w.now, "p", 3_000_000)
		}},
		{"no endpoint", func(w *simulation) {
			w.engines = nil
			w.setView(100_000)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(2, 100_000)
			for i := range w.engines {
				w.engines[i].Slots = 4
			}
			w.setView(100_000)
			test.fill(w)
			before := len(w.refusals)
			id := w.resume("o", 20_000, 600*time.Millisecond)
			for range 200 {
				w.now = w.now.Add(testStep)
				w.input(schedule.Alarm{})
			}
			for _, r := range w.refusals[before:] {
				is.True(r.ID != id)
			}
		})
	}
}

// fillSlots takes all slots of all engines.
func (w *simulation) fillSlots() {
	for _, e := range w.policy.endpoints {
		e.own.requests = e.Slots
	}
}

// TestContinuationIsFirst guards against a continuation that waits behind new
// requests, urgent ones or nested ones, until its caller has left.
func TestContinuationIsFirst(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 100_000)
	w.engines[0].Slots = 1
	w.setView(100_000)
	w.send("p", 100) // runs
	is.Equal(w.started["p"], 1)
	w.last++
	nested := &schedule.Request{
		ID: w.last, Organisation: "p", Pool: "p", MayWait: true, Nested: true, Urgency: 5, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		Prompt: &schedule.Prompt{InputTokens: 100, OutputTokens: 100},
	}
	w.requests[nested.ID], w.arrived[nested.ID] = nested, w.now
	w.input(schedule.Arrival{Request: *nested})
	w.send("q", 100)
	w.policy.usage.addReceived(w.now, "o", 1_000_000)
	w.resume("o", 100, 600*time.Millisecond)
	is.Equal(w.started["o"], 0)
	w.now = w.now.Add(testStep)
	w.endRuns()
	is.Equal(w.started["o"], 1)
}

// TestContinuationsTakeNoPlacesOfNewRequests guards against refusing new requests of
// an organisation because continuations of its streams wait.
func TestContinuationsTakeNoPlacesOfNewRequests(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 100_000)
	w.fillSlots()
	for range MaxQueuedRequests {
		w.resume("o", 100, 600*time.Millisecond)
	}
	w.send("o", 100)
	is.Equal(len(w.refusals), 0)
}

// TestContinuationThatFailedEverywhereIsRefused guards against a caller that waits for
// an endpoint that will not come, although it could resume its stream itself.
func TestContinuationThatFailedEverywhereIsRefused(t *testing.T) {
	is := is.New(t)
	w := newSimulation(2, 100_000)
	id := w.resume("o", 100, 600*time.Millisecond, "e0", "e1")
	is.Equal(len(w.refusals), 1)
	is.Equal(w.refusals[0].ID, id)
}

// TestUnusedStartIsNoFailure guards against avoiding an endpoint because a request
// that was to start there was withdrawn.
func TestUnusedStartIsNoFailure(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 100_000)
	e := w.policy.endpoints["e0"]
	for range 5 {
		w.send("o", 100)
		w.input(schedule.Completion{ID: w.last, Result: schedule.ResultUnused})
	}
	is.Equal(e.own, load{})
	is.True(w.policy.usable(w.now, e))
	is.Equal(w.policy.usage.fleetRates(w.now)["o"].received, 0.0)
}

// TestSilentStreamDoesNotMoveToSilentEndpoint guards against giving up an attempt at
// a silent endpoint in favour of one that is silent as well.
func TestSilentStreamDoesNotMoveToSilentEndpoint(t *testing.T) {
	is := is.New(t)
	w := newSimulation(2, 100_000)
	second := w.policy.endpoints["e1"]
	second.own.requests = 1
	w.now = w.now.Add(silenceTimeout + second.timeToFirstToken(0) + testStep)
	w.last++
	r := &schedule.Request{
		ID: w.last, Organisation: "o", Pool: "p", MayWait: true, Resumes: true, StillRuns: true, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		Prompt: &schedule.Prompt{InputTokens: 100, OutputTokens: 100}, Tried: []view.EndpointID{"e0"},
	}
	w.requests[r.ID], w.arrived[r.ID] = r, w.now
	w.input(schedule.Arrival{Request: *r})
	is.Equal(w.started["o"], 0) // e1 is silent
	second.health.silentUntil = time.Time{}
	second.lastActivityAt = w.now // it sends again
	w.input(schedule.Alarm{})
	is.Equal(w.started["o"], 1)
	is.Equal(len(w.refusals), 0)
}

// TestLateContinuationIsNotPassedByNewRequests guards against a continuation that waits
// for an engine without a queue once its caller's patience is nearly over, while new
// requests keep starting at the engines.
func TestLateContinuationIsNotPassedByNewRequests(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 100_000)
	for range 4 {
		w.send("p", 10_000)
	}
	started := w.started["p"]
	is.True(started > 0) // the engine has a queue
	w.resume("o", 10_000, 50*time.Millisecond)
	for range 400 {
		w.send("p", 5_000)
		w.advance(testStep)
		if w.started["o"] > 0 {
			break
		}
	}
	is.Equal(w.started["o"], 1)
	is.True(w.started["p"]-started <= 1)
}

// TestSearchesTakeNoPlacesOfNewRequests guards against refusing new requests of an
// organisation because its requests in flight look for another endpoint meanwhile.
func TestSearchesTakeNoPlacesOfNewRequests(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 100_000)
	for range MaxQueuedRequests {
		w.last++
		r := &schedule.Request{
			ID: w.last, Organisation: "o", Pool: "p", MayWait: true, StillRuns: true, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
			Prompt: &schedule.Prompt{InputTokens: 100, OutputTokens: 100}, Tried: []view.EndpointID{"e0"},
		}
		w.requests[r.ID], w.arrived[r.ID] = r, w.now
		w.input(schedule.Arrival{Request: *r})
	}
	w.send("o", 100)
	is.Equal(len(w.refusals), 0)
	w.now = w.now.Add(testStep)
	w.input(schedule.Alarm{})
	is.Equal(w.started["o"], 1)
}

// TestRecoveredEndpointIsUsedAtOnce guards against refusing requests because an endpoint
// is still avoided that was silent and has continued.
func TestRecoveredEndpointIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 100_000)
	w.send("p", 100)
	w.send("p", 100)
	w.now = w.now.Add(testStep)
	w.input(schedule.Alarm{})
	is.Equal(w.started["p"], 2)
	e := w.policy.endpoints["e0"]
	w.now = w.now.Add(silenceTimeout + e.timeToFirstToken(200) + testStep)
	w.input(schedule.Alarm{})
	is.True(!w.policy.usable(w.now, e)) // it is silent
	w.now = w.now.Add(testStep)
	w.input(schedule.Progress{ID: 1, Service: 1, FirstToken: time.Second})
	is.True(w.policy.usable(w.now, e))
	w.input(schedule.Completion{ID: 2, Result: schedule.ResultNotSent})
	w.input(schedule.Progress{ID: 1, Service: 1})
	is.True(!w.policy.usable(w.now, e)) // activity does not refute other failures
}
