package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// The tests in this file combine pauses with retries, continuations, departures and
// restarts, and with what organisations receive meanwhile.

// pauseNotice is the time after the answer of an endpoint from which on requests must
// not reach it any more.
const pauseNotice = 500 * time.Millisecond

// arrive passes a request to the policy and returns its ID.
func (w *simulation) arrive(r schedule.Request) schedule.RequestID {
	w.last++
	r.ID, r.Pool, r.MayWait, r.Deadline = w.last, "p", true, w.now.Add(deadline)
	if r.Objective.IsZero() {
		r.Objective = w.now.Add(objective)
	}
	r.Prompt = &schedule.Prompt{InputTokens: 1000, OutputTokens: 10}
	w.requests[r.ID], w.arrived[r.ID] = &r, w.now
	w.input(schedule.Arrival{Request: r})
	return r.ID
}

// leave lets an engine leave.
func (w *simulation) leave(engine int, tokensPerSecond float64) {
	w.engines = slices.Clone(w.engines)
	w.engines[engine].Leaving = true
	w.setView(tokensPerSecond)
}

// TestRetriesAndContinuationsKeepToStatements guards against a retry or a continuation
// that waits for an endpoint and starts there after it asked for time or said it leaves.
func TestRetriesAndContinuationsKeepToStatements(t *testing.T) {
	for _, request := range []struct {
		name string
		schedule.Request
	}{
		{"retry", schedule.Request{Organisation: "o", Tried: []view.EndpointID{"e2"}}},
		{"continuation", schedule.Request{Organisation: "o", Resumes: true, Tried: []view.EndpointID{"e2"}}},
		{"search", schedule.Request{Organisation: "o", StillRuns: true, Tried: []view.EndpointID{"e2"}}},
		{"continuation beside a silent attempt", schedule.Request{Organisation: "o", Resumes: true, StillRuns: true, Tried: []view.EndpointID{"e2"}}},
	} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leaves=%t", request.name, leaves), func(t *testing.T) {
				is := is.New(t)
				w := newSimulation(3, 3*pauseTokensPerSecond)
				for i := range w.engines {
					w.engines[i].Slots = 1
				}
				w.setView(3 * pauseTokensPerSecond)
				for range 3 {
					w.send("p", 100)
				}
				w.advance(minScanInterval)
				before := w.startsByEngine["e0"]
				w.arrive(request.Request)
				is.Equal(w.started["o"], 0) // it waits for a slot
				if leaves {
					w.leave(0, 3*pauseTokensPerSecond)
				} else {
					w.pause(0, w.now.Add(time.Minute))
				}
				w.now = w.now.Add(testStep)
				w.endRuns()
				w.advance(minScanInterval)
				is.Equal(w.started["o"], 1) // at the other one
				is.Equal(w.startsByEngine["e0"], before)
				is.Equal(w.startsByEngine["e1"], 2)
				is.Equal(len(w.refusals), 0)
			})
		}
	}
}

// TestContinuationStartsAfterPauseOfLastEndpoint guards against a continuation that is
// refused, starts early, or waits on after the pause of the only endpoint left to it.
func TestContinuationStartsAfterPauseOfLastEndpoint(t *testing.T) {
	is := is.New(t)
	w := newSimulation(2, 2*pauseTokensPerSecond)
	until := w.now.Add(time.Second)
	w.pause(1, until)
	w.arrive(schedule.Request{Organisation: "o", Resumes: true, Objective: w.now.Add(4 * time.Second), Tried: []view.EndpointID{"e0"}})
	w.advance(until.Sub(w.now) - testStep)
	is.Equal(w.started["o"], 0)
	is.Equal(len(w.refusals), 0)
	w.advance(testStep + idleInterval)
	is.Equal(w.startsByEngine["e1"], 1)
}

// TestPausedEndpointThatLeaves guards against requests that start at an endpoint once its
// pause has ended although it left meanwhile, that wait for it, or that are kept from its
// next start.
func TestPausedEndpointThatLeaves(t *testing.T) {
	is := is.New(t)
	const tokensPerSecond = 2 * pauseTokensPerSecond
	w := newSimulation(2, tokensPerSecond)
	second := w.now.Add(3 * time.Second)
	w.pause(0, w.now.Add(time.Second))
	w.pause(1, second)
	w.leave(0, tokensPerSecond)
	w.send("o", 1000)
	is.Equal(len(w.refusals), 1)
	is.True(!w.refusals[0].RetryAt.Before(second)) // not the pause of the one that leaves
	w.advance(1500 * time.Millisecond)
	w.send("o", 1000)
	w.advance(minScanInterval)
	is.Equal(w.startsByEngine["e0"], 0)
	is.Equal(len(w.refusals), 2)

	w.engines = slices.Clone(w.engines)
	w.engines[0].ID, w.engines[0].Leaving = "e0-next", false
	w.setView(tokensPerSecond)
	w.send("o", 1000)
	w.advance(minScanInterval)
	is.Equal(w.startsByEngine["e0-next"], 1)
	is.Equal(w.startsByEngine["e1"], 0)
}

// TestRepeatedPausesHoldUntilTheLatest guards against a shorter pause that ends a longer
// one, a longer one that does not count, and pauses that outlast the latest.
func TestRepeatedPausesHoldUntilTheLatest(t *testing.T) {
	is := is.New(t)
	w := newSimulation(2, 2*pauseTokensPerSecond)
	var latest time.Time
	for _, period := range []time.Duration{time.Second, 300 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, 1900 * time.Millisecond, -time.Second, 0} {
		until := w.now.Add(period)
		w.pause(0, until)
		if until.After(latest) {
			latest = until
		}
		for range 4 {
			w.send("o", 100)
			w.advance(50 * time.Millisecond)
		}
		is.Equal(w.startsByEngine["e0"], 0)
	}
	for w.now.Add(testStep).Before(latest) {
		w.send("o", 100)
		w.advance(testStep)
		is.Equal(w.startsByEngine["e0"], 0)
	}
	w.advance(latest.Sub(w.now))
	for range 8 {
		w.send("o", 100)
	}
	w.advance(minScanInterval)
	is.True(w.startsByEngine["e0"] > 0)
}

// TestRouterThatStoodStillOverPause guards against a router that starts requests during a
// pause although it ran late, or that keeps from the endpoint after it.
func TestRouterThatStoodStillOverPause(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, pauseTokensPerSecond)
	until := w.now.Add(2 * time.Second)
	w.pause(0, until)
	w.arrive(schedule.Request{Organisation: "o", Resumes: true, Objective: until.Add(objective)})
	w.now = until.Add(-testStep) // it stood still
	w.input(schedule.Alarm{})
	is.Equal(w.started["o"], 0)
	w.now = until.Add(3 * time.Second) // and again, over the end
	w.input(schedule.Alarm{})
	is.Equal(w.started["o"], 1)
	w.send("p", 1000)
	w.advance(minScanInterval)
	is.Equal(w.started["p"], 1)
}

// TestEachRouterLearnsPauseAlone guards against routers that keep sending to a paused
// endpoint, which each learn only from an answer of their own, also after they start anew,
// and against an endpoint that gets nothing after the pause.
func TestEachRouterLearnsPauseAlone(t *testing.T) {
	for _, routers := range []int{7, 70, 360} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			const restarted, sendInterval = 3, 100 * time.Millisecond
			f := newPacedFleet(routers, 2, 20*pauseTokensPerSecond)
			f.pace = enginePace{base: time.Millisecond}
			v := f.policies[restarted].view
			begin := f.now
			until, restartAt := begin.Add(1500*time.Millisecond), begin.Add(600*time.Millisecond)
			learnt := make([]time.Time, routers)
			late := 0
			// turnAway rejects what has reached the endpoint and asks for time.
			turnAway := func() {
				e := f.engines["e0"]
				streams := e.streams
				e.streams = nil
				for _, s := range streams {
					switch at := learnt[s.router]; {
					case at.IsZero():
						learnt[s.router] = f.now
					case f.now.Sub(at) > pauseNotice:
						late++
					}
					f.input(s.router, schedule.Pause{Endpoint: "e0", Until: until})
					f.input(s.router, schedule.Completion{ID: s.id, Result: schedule.ResultRejected})
				}
			}
			next := 0
			for f.now.Before(until.Add(-testStep)) {
				for due := routers * int(f.now.Sub(begin)/testStep+1) / int(sendInterval/testStep); next < due; next++ {
					f.sendSized(next%routers, "o", "", 10)
				}
				turnAway()
				f.advance()
				if f.now.Equal(restartAt) {
					f.policies[restarted] = New(Options{Source: rand.NewPCG(9, 9)})
					f.requests[restarted], learnt[restarted] = map[schedule.RequestID]fleetRequest{}, time.Time{}
					f.input(restarted, schedule.Change{View: v})
				}
			}
			for _, at := range learnt {
				is.True(!at.IsZero())
			}
			is.Equal(late, 0)
			f.now = until
			for i := range routers {
				f.sendSized(i, "o", "", 10)
			}
			f.now = f.now.Add(scanInterval)
			for i := range routers {
				f.input(i, schedule.Alarm{})
			}
			is.True(len(f.engines["e0"].streams) > 0)
		})
	}
}

// TestEndpointThatLiesToOneOrganisation guards against an endpoint that turns away only
// the requests of one organisation and thereby costs others their answers or its capacity.
func TestEndpointThatLiesToOneOrganisation(t *testing.T) {
	is := is.New(t)
	const seconds = 8
	w := newSimulation(2, 2*pauseTokensPerSecond)
	var until time.Time
	for range int(seconds * time.Second / (10 * testStep)) {
		w.send("lied", 500)
		w.send("other", 500)
		for _, r := range slices.Clone(w.runs) {
			if r.engine != "e0" || r.organisation != "lied" || !r.startedAt.Equal(w.now) {
				continue
			}
			is.True(!w.now.Before(until)) // nothing starts during the pause
			until = w.now.Add(500 * time.Millisecond)
			w.pause(0, until)
			w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
			w.input(schedule.Completion{ID: r.id, Result: schedule.ResultRejected})
		}
		w.advance(10 * testStep)
	}
	w.advance(time.Second)
	sent := seconds * int(time.Second/(10*testStep))
	is.True(w.inTime["other"]*20 >= sent*19) // as if it were alone
	is.Equal(w.refused["other"], 0)
	is.True(!until.IsZero())
	is.True(w.startsByEngine["e0"] > seconds) // it is used between the pauses
}

// TestPausedCapacityCountsAsAbsent guards against fair shares that count the capacity of
// paused endpoints: organisations above their shares are then not held back, and one that
// requests its share gets less than beside endpoints that do not exist.
func TestPausedCapacityCountsAsAbsent(t *testing.T) {
	is := is.New(t)
	const routers, engines, seconds, perEngine = 20, 8, 8, 36 * 1040
	started := map[bool]int{}
	for _, paused := range []bool{false, true} {
		total := engines / 2
		if paused {
			total = engines
		}
		f := newPacedFleet(routers, total, float64(total*perEngine))
		for router := range routers {
			for _, id := range f.order[engines/2:] {
				f.input(router, schedule.Pause{Endpoint: id, Until: f.now.Add(time.Minute)})
			}
		}
		large, small := 0, 0
		for i := range int(seconds * time.Second / testStep) {
			for ; large < i*200/200; large++ {
				f.send(1+large%(routers-1), "large")
			}
			for ; small < i*70/200; small++ {
				f.send(0, "small")
			}
			f.advance()
		}
		t.Logf("paused=%t: small %d of %d, large %d of %d", paused, f.started["small"], small, f.started["large"], large)
		started[paused] = f.started["small"]
	}
	is.True(started[true]*20 >= started[false]*19)
}

// TestEqualOrganisationsBesidePausedEndpoints guards against shares that change between
// equal organisations while endpoints pause, if one uses a single router.
func TestEqualOrganisationsBesidePausedEndpoints(t *testing.T) {
	is := is.New(t)
	const routers, engines, seconds = 20, 20, 6
	f := newPacedFleet(routers, engines, engines*20*1040)
	for router := range routers {
		for _, id := range f.order[:engines/2] {
			f.input(router, schedule.Pause{Endpoint: id, Until: f.now.Add(time.Minute)})
		}
	}
	sent := 0
	for range int(seconds * time.Second / testStep) {
		for range 2 {
			f.send(0, "single")
			f.send(sent%routers, "spread")
			sent++
		}
		f.advance()
	}
	t.Logf("started: single %d, spread %d of %d each", f.started["single"], f.started["spread"], sent)
	is.True(f.started["single"]*2 >= f.started["spread"])
	is.True(f.started["spread"]*2 >= f.started["single"])
}

// TestBoundedOrganisationIsToldTheEndOfPause guards against callers of an organisation
// that is held to a bound and told to return before any endpoint takes requests.
func TestBoundedOrganisationIsToldTheEndOfPause(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, pauseTokensPerSecond)
	u := w.policy.usage
	u.addRequested(w.now, "most", 400_000)
	u.addReceived(w.now, "most", 300_000)
	u.addRequested(w.now, "least", 400_000)
	u.addReceived(w.now, "least", 100_000)
	u.addUnserved(w.now, "least", 100_000)
	is.Equal(newShares(u.fleetRates(w.now), pauseTokensPerSecond).leastServed, "least")
	w.send("most", 1000) // the next one may start later
	is.Equal(w.started["most"], 1)
	until := w.now.Add(10 * time.Second)
	w.pause(0, until)
	w.send("most", 1000)
	w.advance(testStep)
	is.Equal(len(w.refusals), 1)
	is.True(!w.refusals[0].RetryAt.Before(until))
}
