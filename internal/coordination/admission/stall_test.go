package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

// The tests in this file cover a hot prefix: many prompts of about 12,000 tokens with
// the same shared part arrive within a second at a fleet that is otherwise idle.
// Engines process prompts between the tokens of running streams, so streams on the
// engine that all routers prefer for the prefix pause for longer than callers accept
// if the engine takes them all.

const (
	hotPrefixTokens, hotPromptTokens = 5000, 12_000
	acceptedPause                    = 400 * time.Millisecond
)

// sendHot sends a request of the hot prefix.
func (w *simulation) sendHot() { w.sendHotOf("o", 7) }

// sendHotOf sends a request of an organisation's hot prefix, of a class whose streams
// may pause for acceptedPause.
func (w *simulation) sendHotOf(organisation string, prefix uint64) {
	w.last++
	r := &schedule.Request{
		ID: w.last, Organisation: organisation, Class: "hot", Pool: "p", MayWait: true, MaxPause: acceptedPause,
		Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		Prompt: &schedule.Prompt{InputTokens: hotPromptTokens, OutputTokens: 100, Parts: []schedule.PromptPart{
			{ID: prefix, Tokens: hotPrefixTokens}, {ID: uint64(w.last) << 20, Tokens: hotPromptTokens - hotPrefixTokens},
		}},
	}
	w.requests[r.ID], w.arrived[r.ID] = r, w.now
	w.input(schedule.Arrival{Request: *r})
}

// TestHotPrefixDoesNotStallStreams lets a hot prefix need a third of the capacity. No
// request may wait for the preferred engine while others are idle for longer than these
// take to process the prefix, or be refused, and
// no engine may have more prompts to process at once than streams can wait for: the
// accepted pause, with one prompt that is admitted below the limit.
func TestHotPrefixDoesNotStallStreams(t *testing.T) {
	is := is.New(t)
	w := newSimulation(8, 8*50_000)
	longest := 0.0
	for range 40 { // 40 prompts in 2 s
		w.sendHot()
		w.advance(50 * time.Millisecond)
		backlogs := map[any]float64{}
		for _, r := range w.runs {
			backlogs[r.engine] += r.prefill
			longest = max(longest, backlogs[r.engine])
		}
	}
	w.advance(100 * time.Millisecond)
	t.Logf("at most %.0f tokens at an engine, %d engines used, waits %v, %d refused", longest, len(w.startsByEngine), w.waits, len(w.refusals))
	is.Equal(len(w.refusals), 0)
	is.Equal(len(w.waits), 40)
	for _, waited := range w.waits {
		is.True(waited <= hotPrefixTokens/engineSpeed*time.Millisecond+scanInterval)
	}
	is.True(longest <= engineSpeed*milliseconds(acceptedPause))
}

// TestHotPrefixStaysOnFewEngines guards the cache: a hot prefix that one engine can
// serve stays there.
func TestHotPrefixStaysOnFewEngines(t *testing.T) {
	is := is.New(t)
	w := newSimulation(8, 8*50_000)
	for range 20 {
		w.sendHot()
		w.advance(250 * time.Millisecond)
	}
	is.Equal(len(w.startsByEngine), 1)
}

// TestBusyTimeIsNotThatOfCachedPrompts covers an engine that processes 100 tokens a
// millisecond. A third of its requests begin soon after, although this router believes
// many tokens to be ahead of them, since other routers have sent what is cached there.
// The router must not take the engine to be done with all prompts so much sooner.
func TestBusyTimeIsNotThatOfCachedPrompts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 1))
	for _, stated := range []float64{0, 1000, 50_000, 40_000_000} {
		e := newEndpoint(time.Unix(5000, 0))
		e.setStatedSpeed(stated)
		l := &pool{endpoints: []*endpoint{e}}
		for range 60 {
			ahead := 5000 + random.Int64N(30_000)
			processed := ahead
			if random.IntN(3) == 0 {
				processed = ahead / 10
			}
			prefillTime := time.Duration(float64(processed) / engineSpeed * float64(time.Millisecond))
			l.measureSpeed(&running{endpoint: e, tokensAhead: ahead}, firstTokenOverhead+prefillTime)
		}
		busy := l.busyTime(e, 100*engineSpeed)
		t.Logf("stated %.0f: 100 ms of prompts take %v", stated, busy)
		// Of the tokens ahead, 0.7 are processed, and samples vary.
		is.True(busy >= 50*time.Millisecond && busy <= 100*time.Millisecond)
	}
}

// TestSpeedOfUnusedEndpoints covers a router of a large fleet, which sends hardly any
// request to each of many endpoints, in a pool whose stated throughput is a quarter of
// what it delivers: the endpoints that it has not measured are no slower than the others.
func TestSpeedOfUnusedEndpoints(t *testing.T) {
	is := is.New(t)
	const engines = 40
	w := newSimulation(engines, engines*engineSpeed*1000/statedSpeedFactor/4)
	is.Equal(w.policy.endpoints["e0"].speed, engineSpeed/4.0)
	for range 30 {
		w.sendHot()
		w.advance(250 * time.Millisecond)
	}
	is.True(len(w.startsByEngine) < engines/2)
	is.True(w.policy.endpoints["e0"].speed >= 0.8*engineSpeed)
	w.engines = append(w.engines, w.engines[0])
	w.engines[engines].ID = "new"
	w.setView(engines * engineSpeed * 1000 / statedSpeedFactor / 4)
	is.True(w.policy.endpoints["new"].speed >= 0.8*engineSpeed)
}

// TestNothingIsRefusedWhileEnginesAreIdle lets two organisations with a hot prefix each
// request two fifths of the capacity, which is four times the stated throughput, so that
// both are far above their fair rates. Neither may be refused while engines are idle.
func TestNothingIsRefusedWhileEnginesAreIdle(t *testing.T) {
	is := is.New(t)
	const engines = 8
	w := newSimulation(engines, engines*engineSpeed*1000/10)
	for i := range 80 { // 27 requests a second, 0.4 of the capacity
		w.sendHotOf(fmt.Sprint("o", i%2), 7+uint64(i%2))
		w.advance(37 * time.Millisecond)
	}
	t.Logf("started %v, refused %v", w.started, w.refused)
	is.Equal(len(w.refusals), 0)
}

// TestAnswerFromARemovedPool lets the answer to a request begin after its pool has been
// removed from the view.
func TestAnswerFromARemovedPool(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 50_000)
	w.sendHot()
	is.Equal(w.started["o"], 1)
	w.engines = nil
	w.setView(50_000)
	w.input(schedule.Progress{ID: w.last, FirstToken: 200 * time.Millisecond, Service: 1})
	w.input(schedule.Completion{ID: w.last, Result: schedule.ResultFinished})
	is.Equal(len(w.policy.running), 0)
}
