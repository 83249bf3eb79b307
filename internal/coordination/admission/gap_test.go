package admission

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

// TestRejectionBeforeFirstStartHoldsNobody guards against a fleet that has started
// nothing yet, for instance after all routers have lost power, and refuses all
// requests for minutes since a connection was rejected.
func TestRejectionBeforeFirstStartHoldsNobody(t *testing.T) {
	is := is.New(t)
	w := newSimulation(4, 1_000_000)
	w.input(schedule.Rejections{Requests: []schedule.RejectedRequest{{Organisation: "flood", Work: 1000}}})
	for range 20 {
		w.advance(time.Second)
		w.send("small", 1000)
	}
	t.Logf("small: started %d, refused %d", w.started["small"], w.refused["small"])
	for _, r := range w.refusals[:min(len(w.refusals), 1)] {
		t.Logf("detail: %s", r.Detail)
	}
	is.Equal(w.started["small"], 20) // the engines are idle
}

// TestShortOrganisationIsNotHeldByItsOwnBound guards against a router that refuses
// the organisation on whose behalf the bound applies, because most of its callers
// are rejected at another router.
func TestShortOrganisationIsNotHeldByItsOwnBound(t *testing.T) {
	is := is.New(t)
	const seconds = 10
	load := func(f *processorFleet, also bool) func() {
		sent := 0
		return func() {
			for range 4 {
				f.connect(1+sent%19, "spread")
				f.connect(0, "short")
				sent++
			}
			if also && sent%16 == 0 {
				f.connect(1, "short") // 50 a second
			}
		}
	}
	f := newProcessorFleet(equalCores(20), 20, 20*36*requestWork)
	f.routers[0].core = 0.13
	startedAt := map[int]int{}
	onStart := f.onStart
	f.onStart = func(router int, organisation string) {
		onStart(router, organisation)
		if organisation == "short" && len(f.startedBy) > 4 {
			startedAt[router]++
		}
	}
	f.runSeconds(seconds, load(f, true))
	t.Logf("short started %d at the slow router and %d of %d at the other one, whose processor and engines have room", startedAt[0], startedAt[1], 50*(seconds-4))
	is.True(startedAt[1] >= 45*(seconds-4))
}

// TestPartsOfTheBoundAddUpWhileDemandGrows guards against a fleet that lets an
// organisation exceed its bound in the first seconds of a flood, since each router
// compares what it is asked for now with what others were asked for up to a second ago.
func TestPartsOfTheBoundAddUpWhileDemandGrows(t *testing.T) {
	is := is.New(t)
	const routers, seconds = 60, 4
	f := newProcessorFleet(equalCores(routers), 40, 40*36*requestWork)
	sent := 0
	for range seconds {
		f.runSeconds(1, func() {
			for range 3 {
				f.connect(sent%routers, "spread")
				sent++
			}
		})
		sum := 0.0
		for _, p := range f.policies {
			sum += p.usage.ownPart(f.now, "spread")
		}
		t.Logf("second %d: the parts add up to %.2f", len(f.asked), sum)
		is.True(sum > 0.9 && sum < 1.1)
	}
}

// TestBoundKeepsAPartOfTheFairRate guards against a bound that follows the least
// served organisation down, since the best served one is itself bounded.
func TestBoundKeepsAPartOfTheFairRate(t *testing.T) {
	is := is.New(t)
	const capacity = 1000.0
	best, short := 500.0, 110.0
	for range 10 {
		s := newShares(map[string]usageRates{
			"best": {requested: 5000, received: best}, "short": {requested: 5000, received: short, unserved: 4890},
		}, capacity)
		t.Logf("best %.1f, short %.1f: bound %.1f, fair rate %.1f", best, short, s.bound, s.fairRate)
		is.True(s.bound >= minBoundShare*s.fairRate)
		if math.IsInf(s.bound, 1) {
			return
		}
		best, short = s.bound, s.bound/7
	}
}

// TestNestedRequestIsNotHeld guards against a call of a request that runs, and
// whose capacity is wasted if the call is refused.
func TestNestedRequestIsNotHeld(t *testing.T) {
	is := is.New(t)
	p := New(Options{Source: rand.NewPCG(1, 2)})
	now := time.Unix(5000, 0)
	p.usage.addRequested(now, "best", 100_000)
	p.usage.addReceived(now, "best", 100_000)
	s := shares{rates: p.usage.fleetRates(now), bound: 1000, leastServed: "short"}
	w := &queuedRequest{request: schedule.Request{Organisation: "best", Nested: true, Prompt: &schedule.Prompt{InputTokens: 100}}, cost: 100}
	is.True(!s.holds(&w.request))
}

// TestOrganisationIsNotHeldByTheBoundForIt guards against an organisation whose
// requests are refused for the bound that applies on its own behalf, after several
// of them were started in one scan.
func TestOrganisationIsNotHeldByTheBoundForIt(t *testing.T) {
	is := is.New(t)
	s := newShares(map[string]usageRates{
		"short": {requested: 1000, received: 100, unserved: 900}, "best": {requested: 1000, received: 300},
	}, 1000)
	is.Equal(s.leastServed, "short")
	s.rates["short"] = usageRates{requested: 1000, received: s.bound}
	prompt := &schedule.Prompt{InputTokens: 100}
	is.True(!s.holds(&schedule.Request{Organisation: "short", Prompt: prompt}))
	is.True(s.holds(&schedule.Request{Organisation: "best", Prompt: prompt}))
}

// TestRetriesDoNotCountAsDemand guards against a bound on behalf of an organisation
// that requests less than the fair rate and gets more than half of it, and whose
// rejected callers return: the fleet would be idle for its sake.
func TestRetriesDoNotCountAsDemand(t *testing.T) {
	is := is.New(t)
	const routers, engines = 20, 20
	const returnAfter = int(250 * time.Millisecond / testStep)
	f := newProcessorFleet(equalCores(routers), engines, engines*36*requestWork)
	f.routers[0].core = 0.13
	step, sent, counted := 0, 0, 0
	returning := map[int][]uint64{}
	f.runSeconds(12, func() {
		step++
		for range 4 {
			f.connect(1+sent%(routers-1), "spread")
			sent++
		}
		rejected := f.routers[0].rejected // since the last sample
		if len(rejected) < counted {
			counted = 0
		}
		for _, r := range rejected[counted:] {
			returning[step+returnAfter] = append(returning[step+returnAfter], r.Identity)
		}
		counted = len(rejected)
		for _, identity := range returning[step] {
			f.connectAs(0, "small", identity)
		}
		if step%4 != 0 { // 150 requests a second that are no retries; the fair rate is 360
			f.connect(0, "small")
		}
	})
	total := 0
	for s := 6; s < 12; s++ {
		t.Logf("second %d: small asked %d with its retries and got %d, spread got %d", s, f.asked[s]["small"], f.startedBy[s]["small"], f.startedBy[s]["spread"])
		total += f.startedBy[s]["small"] + f.startedBy[s]["spread"]
	}
	is.True(total >= 6*720*3/4) // the engines' throughput is 720 a second
}

// TestBoundLeavesOthersTheirPart guards against a bound that takes everything from
// organisations above it until their mean rate has fallen to it: they would get less
// than half of what the organisation gets on whose behalf it applies.
func TestBoundLeavesOthersTheirPart(t *testing.T) {
	for _, core := range []float64{0.1, 0.13, 0.192} {
		t.Run(strconv.FormatFloat(core, 'f', 3, 64), func(t *testing.T) {
			is := is.New(t)
			const routers, engines = 20, 20
			f := newProcessorFleet(equalCores(routers), engines, engines*36*requestWork)
			f.routers[0].core = core
			sent := 0
			spread := func() {
				for range 4 {
					f.connect(sent%routers, "spread")
					sent++
				}
			}
			f.runSeconds(6, spread)
			f.runSeconds(14, func() {
				spread()
				for range 4 {
					f.connect(0, "single")
				}
			})
			for s := 5; s < 20; s++ {
				t.Logf("second %d: single got %d, spread got %d", s, f.startedBy[s]["single"], f.startedBy[s]["spread"])
			}
			for from := 6; from <= 20-shareWindow; from++ {
				got, due := f.shortOf(from, "spread", "single")
				t.Logf("from second %d: spread got %.0f, half of what single got is %.0f", from, got, due)
				is.True(got+3 >= due)
				is.True(f.startedBy[from]["spread"] > 0) // engines are idle meanwhile
			}
		})
	}
}

// TestBoundContinuesUntilTheNextReports guards against a bound that lapses between two bursts
// of rejections, so that all routers start what others ask for until the next reports, and
// against one that does not end.
func TestBoundContinuesUntilTheNextReports(t *testing.T) {
	is := is.New(t)
	const capacity = 1000.0
	const lifetime = time.Second
	now := time.Unix(5000, 0)
	l := &pool{}
	bounded := func(short usageRates) shares {
		s := newShares(map[string]usageRates{"best": {requested: 5000, received: 700}, "short": short}, capacity)
		l.keepBound(now, &s, lifetime)
		return s
	}
	first := bounded(usageRates{requested: 600, received: 200, unserved: 400})
	is.Equal(first.leastServed, "short")
	now = now.Add(lifetime / 2)
	between := bounded(usageRates{requested: 600, received: 380, unserved: 0})
	is.Equal(between.leastServed, "short")
	is.Equal(between.bound, maxGap*380) // it follows what the organisation receives
	now = now.Add(lifetime / 2)
	is.Equal(bounded(usageRates{requested: 600, received: 380, unserved: 0}).leastServed, "")
}
