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

// The tests here drive the policy of one router against simple engines in
// virtual time. Each answers a pattern of load.

const (
	objective = 800 * time.Millisecond
	deadline  = 15 * time.Second
	// engineSpeed is how fast the engines read, in tokens per millisecond.
	engineSpeed = 100
	testStep    = 5 * time.Millisecond
)

// run is a request at an engine of a test.
type run struct {
	id           schedule.RequestID
	engine       view.EndpointID
	organisation string
	unread       float64
	generateFor  time.Duration
	startedAt    time.Time
	begunAt      time.Time
}

// world is a router's policy with its engines.
type world struct {
	policy  *Policy
	now     time.Time
	engines []view.Endpoint
	runs    []*run
	last    schedule.RequestID
	asked   map[schedule.RequestID]*schedule.Request
	arrived map[schedule.RequestID]time.Time
	started map[string]int
	inTime  map[string]int
	refused map[string]int
	// at counts what each engine was given.
	at       map[view.EndpointID]int
	refusals []schedule.Refusal
	waits    []time.Duration
}

func newWorld(engines int, tokensPerSecond float64) *world {
	w := &world{
		policy: New(Options{Source: rand.NewPCG(1, 2)}), now: time.Unix(5000, 0), asked: map[schedule.RequestID]*schedule.Request{},
		arrived: map[schedule.RequestID]time.Time{}, started: map[string]int{}, inTime: map[string]int{}, refused: map[string]int{}, at: map[view.EndpointID]int{},
	}
	for i := range engines {
		w.engines = append(w.engines, view.Endpoint{ID: view.EndpointID(fmt.Sprint("e", i)), Pool: "p", Slots: 128, MemoryTokens: 800_000})
	}
	w.show(tokensPerSecond)
	return w
}

// show hands the policy the endpoints as they are.
func (w *world) show(tokensPerSecond float64) {
	w.input(schedule.Change{View: &view.Snapshot{
		Self: "r", Routers: []view.Router{{ID: "r"}}, Endpoints: w.engines, Pools: map[string]view.Pool{"p": {TokensPerSecond: tokensPerSecond}},
	}})
}

func (w *world) input(in schedule.Input) {
	for _, out := range append([]schedule.Output{}, w.policy.Step(w.now, in)...) {
		switch o := out.(type) {
		case schedule.Start:
			r := w.asked[o.ID]
			w.started[r.Organisation]++
			w.at[o.Endpoint]++
			w.waits = append(w.waits, w.now.Sub(w.arrived[o.ID]))
			w.runs = append(w.runs, &run{
				id: o.ID, engine: o.Endpoint, organisation: r.Organisation, unread: float64(r.Prompt.InputTokens),
				generateFor: time.Second, startedAt: w.now,
			})
		case schedule.Refusal:
			w.refused[w.asked[o.ID].Organisation]++
			w.refusals = append(w.refusals, o)
		}
	}
}

func (w *world) ask(organisation string, tokens int64, parts ...schedule.PromptPart) {
	w.last++
	r := &schedule.Request{
		ID: w.last, Organisation: organisation, Pool: "p", MayWait: true, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		Prompt: &schedule.Prompt{InputTokens: tokens, OutputTokens: 100, Parts: append(parts, schedule.PromptPart{ID: uint64(w.last) << 20, Tokens: tokens})},
	}
	w.asked[r.ID], w.arrived[r.ID] = r, w.now
	w.input(schedule.Arrival{Request: *r})
}

// advance lets the engines read, in the order of arrival, and answer.
func (w *world) advance(by time.Duration) {
	for end := w.now.Add(by); w.now.Before(end); {
		w.now = w.now.Add(testStep)
		budget := map[view.EndpointID]float64{}
		for _, e := range w.engines {
			budget[e.ID] = engineSpeed * testStep.Seconds() * 1000
		}
		ended := map[*run]bool{}
		for _, r := range slices.Clone(w.runs) { // answers start other requests
			read := min(r.unread, budget[r.engine])
			r.unread -= read
			budget[r.engine] -= read
			switch {
			case r.unread <= 0 && r.begunAt.IsZero():
				r.begunAt = w.now
				if w.now.Sub(w.arrived[r.id]) <= objective {
					w.inTime[r.organisation]++
				}
				w.input(schedule.Progress{ID: r.id, FirstToken: w.now.Sub(r.startedAt), Service: 1})
			case !r.begunAt.IsZero() && w.now.Sub(r.begunAt) > r.generateFor:
				ended[r] = true
				w.input(schedule.Completion{ID: r.id, Result: schedule.ResultFinished})
			}
		}
		w.runs = slices.DeleteFunc(w.runs, func(r *run) bool { return ended[r] })
		w.input(schedule.Alarm{})
	}
}

func TestFloodByOneOrganisation(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 200_000)
	for i := range 2000 { // 10 s: the flood asks for four times what there is
		w.ask("flood", 4000)
		if i%20 == 0 {
			w.ask("small", 4000)
		}
		w.advance(testStep)
	}
	w.advance(time.Second)
	is.True(w.inTime["small"] >= 95) // a small organisation is served as if it were alone
	is.True(w.refused["flood"] > 1000)
	is.True(w.inTime["flood"]*10 >= w.started["flood"]*9) // what is started begins in time
	total := float64(w.started["flood"]+w.started["small"]) * 4000
	is.True(total >= 0.85*2*engineSpeed*1000*10) // the engines are kept busy
}

// TestTwoFloodsShareAlike has one organisation ask for ten times its share and
// another for three times, while a third stays below.
func TestTwoFloodsShareAlike(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 200_000)
	for i := range 2400 {
		for range 4 {
			w.ask("large", 3000)
		}
		if i%2 == 0 {
			w.ask("middle", 3000)
		}
		if i%40 == 0 {
			w.ask("small", 3000)
		}
		w.advance(testStep)
	}
	t.Logf("large %d middle %d small %d", w.started["large"], w.started["middle"], w.started["small"])
	is.True(w.started["small"] >= 57)
	is.True(w.started["middle"]*2 >= w.started["large"]) // at least half of what the best served gets
}

// TestRoomFallsWithUse is the pattern of two organisations above their shares
// that ask different routers, so that no line orders them: at an engine that is
// strained the one that is further above finds no room.
func TestRoomFallsWithUse(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 100_000)
	w.policy.view.Routers = append(w.policy.view.Routers, view.Router{ID: "x"})
	w.input(schedule.Delivery{From: "x", Message: &schedule.Pulse{
		Organisations: []schedule.OrganisationUse{
			{Organisation: "far", Asked: 500_000, Received: 200_000}, {Organisation: "near", Asked: 200_000, Received: 60_000},
		},
		Endpoints: []schedule.EndpointLoad{{Endpoint: "e0", Requests: 40, Memory: 1000}},
	}})
	w.policy.endpoints["e0"].pace.value = 0.6 * float64(paceLimit)
	w.ask("far", 100)
	w.ask("near", 100)
	w.advance(testStep)
	is.Equal(w.started["near"], 1)
	is.Equal(w.started["far"], 0)
}

func TestCapacityDoesNotIdleWhileWorkWaits(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 300_000)
	for range 400 { // 2 s at twice the capacity, of one organisation alone
		w.ask("only", 3000)
		w.advance(testStep)
	}
	is.True(float64(w.started["only"])*3000 >= 0.85*3*engineSpeed*1000*2)
}

func TestBurstOfLongPrompts(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 300_000)
	for range 60 {
		w.ask("long", 20_000) // 1.2 million tokens at once: 4 s of work
	}
	w.advance(testStep) // lines are looked at within it
	refusedAtOnce := w.refused["long"]
	is.True(refusedAtOnce >= 40) // what can't begin in time is refused on arrival
	for range 60 {
		w.advance(20 * time.Millisecond)
		w.ask("short", 500)
	}
	w.advance(time.Second)
	is.True(w.inTime["short"] >= 50) // short prompts don't queue behind the long ones for longer than their objective
}

func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 100_000)
	for range 100 {
		w.ask("o", 10_000)
	}
	is.True(len(w.refusals) > 50)
	var first, last time.Time
	for _, r := range w.refusals {
		is.True(r.RetryAt.After(w.now.Add(100 * time.Millisecond)))
		is.True(r.RetryAt.Before(w.now.Add(deadline / 3)))
		if first.IsZero() || r.RetryAt.Before(first) {
			first = r.RetryAt
		}
		if r.RetryAt.After(last) {
			last = r.RetryAt
		}
	}
	is.True(last.Sub(first) > 50*time.Millisecond)
}

func TestAThirdOfTheEnginesGone(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 300_000)
	load := func() {
		for range 200 {
			w.ask("o", 800)
			w.advance(testStep)
		}
	}
	load()
	w.engines = w.engines[:2]
	w.show(300_000)
	before := w.inTime["o"]
	load()
	is.True(w.inTime["o"]-before > 190) // the others take the load
	is.Equal(w.at["e2"], min(w.at["e2"], 120))
}

func TestGreyEngineGetsLittle(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 300_000)
	for range 400 {
		w.ask("o", 500)
		for _, r := range w.runs {
			if r.engine == "e0" && r.begunAt.IsZero() {
				r.engine = "broken"
				w.input(schedule.Completion{ID: r.id, Result: schedule.ResultBroken})
			}
		}
		w.advance(testStep)
	}
	is.True(w.at["e0"] < 40) // it is tried now and then, no more
}

func TestSilentEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 200_000)
	dark := func() {
		for _, r := range w.runs {
			if r.engine == "e0" {
				r.engine = "dark" // nothing comes of it any more
			}
		}
	}
	for range 400 {
		w.ask("o", 500)
		dark()
		w.advance(testStep)
	}
	at := w.at["e0"]
	for range 100 {
		w.ask("o", 500)
		dark()
		w.advance(testStep)
	}
	is.True(w.at["e0"]-at < 15)
}

func TestSharedBeginningsStayTogether(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 400_000)
	homes := map[uint64]map[view.EndpointID]int{}
	for i := range 400 {
		key := uint64(i%16 + 1)
		before := len(w.runs)
		w.ask("o", 6000, schedule.PromptPart{ID: key, Tokens: 5000})
		if len(w.runs) > before {
			if homes[key] == nil {
				homes[key] = map[view.EndpointID]int{}
			}
			homes[key][w.runs[len(w.runs)-1].engine]++
		}
		w.advance(50 * time.Millisecond)
	}
	for key, at := range homes {
		most, all := 0, 0
		for _, n := range at {
			most, all = max(most, n), all+n
		}
		if most*10 < all*9 {
			t.Errorf("beginning %d went to %v", key, at)
		}
	}
	is.Equal(len(homes), 16)
}

func TestColdStartServesAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 0) // nothing is stated, nothing learnt
	for range 20 {
		w.ask("o", 2000)
		w.advance(40 * time.Millisecond)
	}
	w.advance(time.Second)
	is.True(w.inTime["o"] >= 19)
}

func TestShareOfEveryRouterIsTheFleets(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 100_000)
	// Another router has served this organisation far beyond its share; a
	// third one, the other.
	w.policy.view.Routers = append(w.policy.view.Routers, view.Router{ID: "x"})
	w.input(schedule.Delivery{From: "x", Message: &schedule.Pulse{Organisations: []schedule.OrganisationUse{
		{Organisation: "rich", Asked: 500_000, Received: 90_000}, {Organisation: "poor", Asked: 100_000, Received: 1000},
	}}})
	for range 100 {
		w.ask("rich", 4000)
		w.ask("poor", 4000)
		w.advance(20 * time.Millisecond)
		w.input(schedule.Delivery{From: "x", Message: &schedule.Pulse{Organisations: []schedule.OrganisationUse{
			{Organisation: "rich", Asked: 500_000, Received: 90_000}, {Organisation: "poor", Asked: 100_000, Received: 1000},
		}}})
	}
	is.True(w.started["poor"] > 3*w.started["rich"])
}

// TestAllCallersAtOneRouter is the pattern of a large fleet in which everything
// that is asked for comes to one router: what waits there has all engines
// before it, not the router's even part of them.
func TestAllCallersAtOneRouter(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 1_000_000)
	for i := range 69 {
		w.policy.view.Routers = append(w.policy.view.Routers, view.Router{ID: view.RouterID(fmt.Sprint("x", i))})
	}
	asked, served := 0, 0
	for range 10 { // bursts of 0.72 s of the engines' work
		for i := range 36 {
			w.ask(fmt.Sprint("o", i%4), 12_000)
			asked++
		}
		w.advance(time.Second)
	}
	for _, n := range w.inTime {
		served += n
	}
	is.True(served > asked*9/10)
}

// TestFloodCostsLittle is the pattern of a flood at one router: what is refused
// must not take the processor time that everything else needs.
func TestFloodCostsLittle(t *testing.T) {
	is := is.New(t)
	w := newWorld(12, 300_000)
	looks, last := 0, time.Time{}
	for i := range 4000 { // 2,000 requests a second
		w.now = w.now.Add(500 * time.Microsecond)
		w.ask(fmt.Sprint("flood", i%20), 4000, schedule.PromptPart{ID: uint64(i%10 + 1), Tokens: 3000})
		if at := w.policy.pools["p"].scannedAt; !at.Equal(last) {
			looks, last = looks+1, at
		}
		is.True(w.policy.pools["p"].lines.of(fmt.Sprint("flood", i%20)) <= MaxQueuedRequests)
		if i%10 == 0 {
			w.input(schedule.Alarm{})
		}
	}
	is.True(looks <= 1000) // not one for each request
}

func TestEveryArrivalEndsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 100_000)
	for range 300 {
		w.ask("a", 6000)
		w.ask("b", 100)
		w.advance(testStep)
	}
	w.advance(20 * time.Second)
	ended := w.started["a"] + w.started["b"] + w.refused["a"] + w.refused["b"]
	is.Equal(ended, 600)
	is.Equal(len(w.policy.running), 0)
	for _, e := range w.policy.endpoints {
		is.Equal(e.own, load{}) // nothing is left on the books
	}
}

// TestResumedStreamGoesBeforeNewOnes is the pattern of an engine that crashes
// under an organisation above its share: the rest of its streams isn't held
// back like what it asks for anew.
func TestResumedStreamGoesBeforeNewOnes(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 100_000)
	for _, e := range w.policy.endpoints {
		e.pace.value = float64(paceLimit) * 0.8
		e.own.requests = 1
	}
	w.policy.usage.take(w.now, "rich", 3_000_000)
	w.policy.usage.ask(w.now, "rich", 3_000_000)
	w.policy.usage.ask(w.now, "poor", 3_000_000)
	w.ask("rich", 100)
	is.Equal(w.started["rich"], 0) // a new one waits
	w.policy.Step(w.now, schedule.Departure{ID: w.last})
	w.last++
	r := &schedule.Request{
		ID: w.last, Organisation: "rich", Pool: "p", MayWait: true, Resumes: true, Objective: w.now.Add(objective), Deadline: w.now.Add(deadline),
		Prompt: &schedule.Prompt{InputTokens: 100, OutputTokens: 100},
	}
	w.asked[r.ID], w.arrived[r.ID] = r, w.now
	w.input(schedule.Arrival{Request: *r})
	is.Equal(w.started["rich"], 1)
}
