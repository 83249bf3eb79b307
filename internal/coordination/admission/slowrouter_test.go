package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/overload"
	"hyssopreach/internal/coordination/schedule"
)

// The tests in this file add to the simulated fleet the processor time that a
// router takes for a request. A router without enough of it rejects connections
// unread.

const (
	// readCost, startCost and rejectCost are the processor time of reading a
	// request, of running one that has been read, and of rejecting a connection.
	readCost, startCost, rejectCost = 400 * time.Microsecond, 800 * time.Microsecond, 40 * time.Microsecond
	// sampleInterval is the time between two samples of a router's lateness.
	sampleInterval = 50 * time.Millisecond
	// requestWork is the work of one request in tokens.
	requestWork = 1040
	// shareWindow is the number of seconds over which the operators compare what
	// organisations get.
	shareWindow = 6
)

// processorFleet is a fleet whose routers have limited processor time.
type processorFleet struct {
	*pacedFleet
	routers []*processor
	// asked and startedBy hold the requests of each organisation in each second.
	asked, startedBy []map[string]int
	// identities is the number of new requests.
	identities uint64
}

// processor is the processor time of one router.
type processor struct {
	// core is the part of a core that the router has, and left what remains of it in
	// this step.
	core       float64
	left       time.Duration
	controller overload.Controller
	// accepted are the connections in the accept queue, and used the requests on
	// connections that are open, which are read ahead of those.
	accepted, used []waitingConn
	// rejected are the requests of rejected connections since the last sample, and
	// received is the last statement of the policy.
	rejected []schedule.RejectedRequest
	received map[string]float64
}

// waitingConn is a connection with one request that has not been read.
type waitingConn struct {
	organisation string
	identity     uint64
	since        time.Time
}

func newProcessorFleet(cores []float64, engines int, tokensPerSecond float64) *processorFleet {
	f := &processorFleet{pacedFleet: newPacedFleet(len(cores), engines, tokensPerSecond)}
	for _, core := range cores {
		f.routers = append(f.routers, &processor{core: core})
	}
	f.onStart = func(router int, organisation string) {
		f.routers[router].left -= startCost
		f.startedBy[len(f.startedBy)-1][organisation]++
	}
	f.onRates = func(router int, received map[string]float64) { f.routers[router].received = received }
	return f
}

func equalCores(routers int) []float64 {
	cores := make([]float64, routers)
	for i := range cores {
		cores[i] = 0.8
	}
	return cores
}

// connect opens a connection with one new request of the organisation to a router.
func (f *processorFleet) connect(router int, organisation string) {
	f.identities++
	f.connectAs(router, organisation, f.identities)
}

// connectAs opens a connection with a request of the given identity.
func (f *processorFleet) connectAs(router int, organisation string, identity uint64) {
	f.asked[len(f.asked)-1][organisation]++
	r := f.routers[router]
	r.accepted = append(r.accepted, waitingConn{organisation, identity, f.now})
}

// sendUsed sends a new request of the organisation on an open connection to a router.
func (f *processorFleet) sendUsed(router int, organisation string) {
	f.identities++
	f.asked[len(f.asked)-1][organisation]++
	r := f.routers[router]
	r.used = append(r.used, waitingConn{organisation, f.identities, f.now})
}

// serve lets a router use its processor time for one step.
func (f *processorFleet) serve(i int) {
	r := f.routers[i]
	r.left = min(r.left, 0) + time.Duration(r.core*float64(testStep))
	for r.left > 0 && len(r.used) > 0 {
		c := r.used[0]
		r.used = r.used[1:]
		r.left -= readCost
		if r.controller.RejectUsed(c.organisation) {
			r.rejected = append(r.rejected, schedule.RejectedRequest{Organisation: c.organisation, Work: requestWork, Identity: c.identity})
			continue
		}
		f.sendPrompt(i, c.organisation, "", schedule.Prompt{InputTokens: 1000, Identity: c.identity})
	}
	for r.left > 0 && len(r.accepted) > 0 {
		c := r.accepted[0]
		r.accepted = r.accepted[1:]
		if r.controller.Reject(c.organisation) {
			r.left -= rejectCost
			r.rejected = append(r.rejected, schedule.RejectedRequest{Organisation: c.organisation, Work: requestWork, Identity: c.identity})
			continue
		}
		r.left -= readCost
		f.sendPrompt(i, c.organisation, "", schedule.Prompt{InputTokens: 1000, Identity: c.identity})
	}
}

// sample adjusts the controllers of all routers.
func (f *processorFleet) sample() {
	for i, r := range f.routers {
		lateness := time.Duration(0)
		if len(r.accepted) > 0 {
			lateness = f.now.Sub(r.accepted[0].since)
		}
		f.input(i, schedule.Rejections{Requests: r.rejected})
		r.rejected = nil
		r.controller.Observe(0, lateness, func(organisation string) float64 { return r.received[organisation] })
	}
}

// runSeconds runs the load for a number of seconds; load is called for each step.
func (f *processorFleet) runSeconds(seconds int, load func()) {
	for range seconds {
		f.asked, f.startedBy = append(f.asked, map[string]int{}), append(f.startedBy, map[string]int{})
		for step := range int(time.Second / testStep) {
			load()
			for i := range f.routers {
				f.serve(i)
			}
			if step%int(sampleInterval/testStep) == 0 {
				f.sample()
			}
			f.advance()
		}
	}
}

// shortOf returns what the organisation got within the window that begins at the
// second, and half of what it asked or the other one got, whichever is less in
// each second.
func (f *processorFleet) shortOf(from int, organisation, other string) (got, due float64) {
	for s := from; s < from+shareWindow; s++ {
		got += float64(f.startedBy[s][organisation])
		due += float64(min(f.asked[s][organisation], f.startedBy[s][other])) / 2
	}
	return got, due
}

// TestOrganisationAtSlowRouterGetsHalfOfTheBest guards against an organisation that
// gets less than half of the best served one because all of its callers use one
// router, whose processor time is short, while others use all routers.
func TestOrganisationAtSlowRouterGetsHalfOfTheBest(t *testing.T) {
	is := is.New(t)
	const routers, engines, seconds = 20, 20, 12
	f := newProcessorFleet(equalCores(routers), engines, engines*36*requestWork)
	f.routers[0].core = 0.192
	sent := 0
	f.runSeconds(seconds, func() {
		for range 4 {
			f.connect(0, "single")
			f.connect(sent%routers, "spread")
			sent++
		}
	})
	for from := range seconds - shareWindow + 1 {
		got, due := f.shortOf(from, "single", "spread")
		t.Logf("from second %d: single got %.0f, half of what spread got is %.0f", from, got, due)
		is.True(got+3 >= due)
	}
}

// runBesideFlood runs a fleet in which one organisation has a slow router in common with
// a flood, and another one uses all routers. A caller of the flood whose request has been
// started sends the next one on its connection.
func runBesideFlood(t *testing.T, seconds int) *processorFleet {
	const routers, engines = 20, 20
	f := newProcessorFleet(equalCores(routers), engines, engines*36*requestWork)
	f.routers[0].core = 0.192
	open, onStart := 0, f.onStart
	f.onStart = func(router int, organisation string) {
		onStart(router, organisation)
		if organisation == "flood" {
			open++
		}
	}
	sent := 0
	f.runSeconds(seconds, func() {
		for range open {
			f.sendUsed(0, "flood")
		}
		open = 0
		f.connect(0, "single")
		f.connect(0, "flood")
		f.connect(0, "flood")
		for range 4 {
			f.connect(sent%routers, "spread")
			sent++
		}
	})
	for s := range seconds {
		t.Logf("second %d: started %v of %v", s, f.startedBy[s], f.asked[s])
	}
	return f
}

// requireHalf requires that the organisation gets half of what it asks or the other one
// gets, whichever is less, within each window.
func (f *processorFleet) requireHalf(t *testing.T, organisation, other string) {
	is := is.New(t)
	for from := range len(f.asked) - shareWindow + 1 {
		got, due := f.shortOf(from, organisation, other)
		t.Logf("from second %d: %s got %.0f, due by what %s got is %.0f", from, organisation, got, other, due)
		is.True(got+3 >= due)
	}
}

// TestUsedConnectionsLeaveOthersTheirShare guards against an organisation that gets
// nearly nothing at a slow router whose processor time goes to requests of another one,
// which come on open connections and are therefore never rejected.
func TestUsedConnectionsLeaveOthersTheirShare(t *testing.T) {
	runBesideFlood(t, 12).requireHalf(t, "single", "flood")
}

// TestOrganisationBesideFloodGetsHalfOfTheBest guards against an organisation that gets
// less than half of the best served one, which uses all routers, since it has a slow
// router in common with a flood.
func TestOrganisationBesideFloodGetsHalfOfTheBest(t *testing.T) {
	runBesideFlood(t, 12).requireHalf(t, "single", "spread")
}

// TestBoundEndsWithTheShortage guards against capacity that stays idle after an
// organisation whose share was short has ceased to ask for more than it gets.
func TestBoundEndsWithTheShortage(t *testing.T) {
	is := is.New(t)
	const routers, engines = 20, 20
	f := newProcessorFleet(equalCores(routers), engines, engines*36*requestWork)
	f.routers[0].core = 0.192
	sent := 0
	spread := func() {
		for range 4 {
			f.connect(sent%routers, "spread")
			sent++
		}
	}
	f.runSeconds(6, func() {
		spread()
		for range 4 {
			f.connect(0, "single")
		}
	})
	held := f.startedBy[5]["spread"]
	f.runSeconds(3, spread)
	t.Logf("spread got %d in the last second of the shortage, %d and %d in the two seconds after the first one without", held, f.startedBy[7]["spread"], f.startedBy[8]["spread"])
	is.True(held < 300)
	is.True(f.startedBy[7]["spread"] >= 500)
	is.True(f.startedBy[8]["spread"] >= 500)
}

// TestSmallShortageDoesNotIdleTheFleet guards against a bound by an organisation
// that asks for little and is refused, which would leave most of the fleet idle.
func TestSmallShortageDoesNotIdleTheFleet(t *testing.T) {
	is := is.New(t)
	const routers, engines = 20, 20
	f := newProcessorFleet(equalCores(routers), engines, engines*36*requestWork)
	f.routers[0].core = 0.02
	sent := 0
	f.runSeconds(6, func() {
		for range 4 {
			f.connect(1+sent%(routers-1), "spread")
			sent++
		}
		if sent%20 == 0 {
			f.connect(0, "small")
		}
	})
	t.Logf("small asked %d and got %d, spread got %d", f.asked[5]["small"], f.startedBy[5]["small"], f.startedBy[5]["spread"])
	is.True(f.startedBy[5]["small"] < f.asked[5]["small"])
	is.True(f.startedBy[5]["spread"] >= 500)
}

// runFall runs a fleet in which one organisation has a router of its own that loses
// processor time, while another one uses all routers.
func runFall(before, after float64) *processorFleet {
	const routers, engines, fall, seconds = 20, 20, 10, 20
	f := newProcessorFleet(equalCores(routers), engines, engines*36*requestWork)
	f.routers[0].core = before
	sent := 0
	load := func() {
		for range 4 {
			f.connect(0, "single")
			f.connect(sent%routers, "spread")
			sent++
		}
	}
	f.runSeconds(fall, load)
	f.routers[0].core = after
	f.runSeconds(seconds-fall, load)
	return f
}

// TestBoundFollowsAShareThatFalls guards against an organisation that gets less than
// half of the best served one for seconds after its router has lost a half of its
// processor time, since the bound follows mean rates.
func TestBoundFollowsAShareThatFalls(t *testing.T) {
	runFall(0.4, 0.18).requireHalf(t, "single", "spread")
}

// TestBoundFollowsASteepFall guards against the same after a router has lost two thirds
// of its processor time.
func TestBoundFollowsASteepFall(t *testing.T) {
	runFall(0.4, 0.13).requireHalf(t, "single", "spread")
}
