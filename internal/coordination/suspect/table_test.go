package suspect

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/state/view"
)

const testConfirmTimeout = 500 * time.Millisecond

// TestMain fixes the seed of the property tests, so that every run gives the
// same result. A seed given on the command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fleet is a set of tables with a network between them that may lose messages.
// Only the method advance moves its clock.
type fleet struct {
	now           time.Time
	tables        map[view.RouterID]*Table
	ids           []view.RouterID
	lose          func(from, to view.RouterID) bool
	checked       map[uint64]CheckResult
	broadcastDone map[uint64]bool
	lastID        uint64
	sent          int
}

func newFleet(routers int) *fleet {
	f := &fleet{now: time.Unix(1e6, 0), tables: map[view.RouterID]*Table{}, checked: map[uint64]CheckResult{}, broadcastDone: map[uint64]bool{}, lose: loseNothing}
	for i := range routers {
		id := view.RouterID(fmt.Sprint("r", i))
		f.ids = append(f.ids, id)
		f.tables[id] = New(Options{Self: id, Isolate: true, ConfirmTimeout: testConfirmTimeout})
	}
	f.updateView()
	return f
}

func (f *fleet) updateView() {
	v := &view.Snapshot{}
	for _, id := range f.ids {
		v.Routers = append(v.Routers, view.Router{ID: id, Incarnation: 1})
	}
	for _, id := range f.ids {
		f.step(id, Change{v})
	}
}

func (f *fleet) step(at view.RouterID, in Input) {
	t := f.tables[at]
	if t == nil {
		return
	}
	for _, o := range append([]Output(nil), t.Step(f.now, in)...) {
		switch o := o.(type) {
		case Send:
			f.sent++
			if !f.lose(at, o.To) {
				f.step(o.To, Delivery{at, o.Message})
			}
		case CheckResult:
			f.checked[o.ID] = o
		case BroadcastDone:
			f.broadcastDone[o.ID] = true
		}
	}
}

// check requests a verdict from a router and advances the clock until there is
// one.
func (f *fleet) check(at view.RouterID, fp Fingerprint) Verdict {
	f.lastID++
	id := f.lastID
	f.step(at, CheckRequest{ID: id, Fingerprint: fp, Deadline: f.now.Add(time.Second)})
	for range 20 {
		if j, ok := f.checked[id]; ok {
			return j.Verdict
		}
		f.advance(100 * time.Millisecond)
	}
	return VerdictBusy
}

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, id := range f.ids {
		f.step(id, Alarm{})
	}
}

func loseNothing(_, _ view.RouterID) bool { return false }

func endpoint(i int) view.EndpointID { return view.EndpointID(fmt.Sprint("e", i)) }

func TestRequestIsRejectedEverywhereAfterSecondFailure(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	is.Equal(f.check("r0", 7), VerdictFree)
	f.step("r0", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	is.Equal(f.check("r1", 7), VerdictExclusive)
	f.step("r1", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e2"})
	f.step("r1", RunEnded{Fingerprint: 7})
	for _, id := range f.ids {
		is.Equal(f.check(id, 7), VerdictRejected)
	}
	f.advance(evidenceLifetime + time.Second)
	is.Equal(f.check("r2", 7), VerdictFree)
	is.Equal(f.tables["r2"].Len(), 0)
}

// TestFailureIsReportedAfterRoutersConfirm guards against reporting a failure
// to the caller before all reachable routers have the evidence: the caller may
// retry at once through any of them. A link that could not be opened drops its
// messages for a while.
func TestFailureIsReportedAfterRoutersConfirm(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	opensAt := f.now.Add(250 * time.Millisecond)
	f.lose = func(from, to view.RouterID) bool { return from == "r0" && to == "r2" && f.now.Before(opensAt) }
	f.step("r0", EndpointFailed{ID: 41, Fingerprint: 7, Endpoint: "e1"})
	is.True(!f.broadcastDone[41])
	is.Equal(f.check("r1", 7), VerdictExclusive)
	f.step("r1", RunEnded{Fingerprint: 7})
	for f.now.Before(opensAt) {
		is.True(!f.broadcastDone[41])
		f.advance(resendInterval)
	}
	f.advance(resendInterval)
	is.True(f.broadcastDone[41])
	is.Equal(f.tables["r2"].failedEndpoints(f.now, 7), 1) // r2 now has the evidence

	// A router that is unreachable, or that leaves, delays the report only
	// briefly.
	f.lose = func(from, to view.RouterID) bool { return from == "r0" && to == "r2" }
	f.step("r0", EndpointFailed{ID: 42, Fingerprint: 7, Endpoint: "e2"})
	f.advance(testConfirmTimeout)
	is.True(f.broadcastDone[42])
	f.step("r0", EndpointFailed{ID: 43, Fingerprint: 8, Endpoint: "e2"})
	is.True(!f.broadcastDone[43])
	f.ids = []view.RouterID{"r0", "r1"}
	f.updateView()
	is.True(f.broadcastDone[43])
}

func TestFailuresOfOneEndpointDoNotReject(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	f.step("r1", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	is.Equal(f.check("r2", 7), VerdictExclusive)
}

func TestFinishedRunClearsEvidence(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	is.Equal(f.check("r1", 7), VerdictExclusive)
	f.step("r1", RunEnded{Fingerprint: 7, Finished: true})
	f.step("r2", Delivery{"r0", EvidenceUpdate{Evidence: []Evidence{{Fingerprint: 7, Endpoint: "e1", At: f.now, Until: f.now.Add(time.Minute)}}}}) // delayed message from before the run
	for _, id := range f.ids {
		is.Equal(f.check(id, 7), VerdictFree)
	}
}

func TestLiveEndpointClearsEvidence(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	probedAt := f.now
	f.step("r0", EndpointAlive{"e1", probedAt}) // the probe was not sent after the failure
	is.Equal(f.check("r1", 7), VerdictExclusive)
	f.step("r1", RunEnded{Fingerprint: 7})
	f.step("r0", EndpointAlive{"e1", probedAt.Add(2 * maxClockSkew)})
	is.Equal(f.check("r1", 7), VerdictFree)
}

func TestSuspectHasAtMostOneRunInFlight(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	f.step("r0", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	is.Equal(f.check("r1", 7), VerdictExclusive)
	is.Equal(f.check("r2", 7), VerdictBusy)
	is.Equal(f.check("r1", 7), VerdictBusy) // not twice at one router either
	f.step("r1", RunEnded{Fingerprint: 7})
	is.Equal(f.check("r2", 7), VerdictExclusive)
}

func TestEvidenceOutlivesRouterAndReachesNewRouters(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.step("r0", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	delete(f.tables, "r0")
	f.ids = []view.RouterID{"r1", "r2", "r3"}
	f.updateView()
	f.ids = append(f.ids, "r4")
	f.tables["r4"] = New(Options{Self: "r4", Isolate: true, ConfirmTimeout: testConfirmTimeout})
	f.updateView()
	is.Equal(f.check("r4", 7), VerdictExclusive)
}

func TestRequestsWithoutEvidenceSendNoMessages(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{ID: 1, Fingerprint: 7, Endpoint: "e1"})
	before := f.sent
	for i := range 1000 {
		is.Equal(f.check("r1", Fingerprint(100+i)), VerdictFree)
		f.step("r1", RunEnded{Fingerprint: Fingerprint(100 + i), Finished: true})
	}
	is.Equal(f.sent, before)
}

// TestCrashingRequestStopsAfterTwoEndpoints checks that a request which crashes
// every endpoint that runs it crashes at most two. The request is sent
// repeatedly through random routers while links lose messages. Other requests
// that were in flight at the crashed endpoints must not be rejected.
func TestCrashingRequestStopsAfterTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const crashing = Fingerprint(7)
		f := newFleet(rapid.IntRange(2, 7).Draw(t, "routers"))
		crashed := 0
		// A link fails for less than the time in which evidence is sent three
		// times, and not again within 10 s.
		type link struct{ from, to view.RouterID }
		failsUntil, worksUntil := map[link]time.Time{}, map[link]time.Time{}
		f.lose = func(from, to view.RouterID) bool {
			l := link{from, to}
			if !f.now.Before(worksUntil[l]) && rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
				failsUntil[l] = f.now.Add(time.Duration(rapid.IntRange(1, 2900).Draw(t, "millis")) * time.Millisecond)
				worksUntil[l] = f.now.Add(10 * time.Second)
			}
			return f.now.Before(failsUntil[l])
		}
		router := func() view.RouterID { return rapid.SampledFrom(f.ids).Draw(t, "router") }
		var others []Fingerprint
		for send := range rapid.IntRange(1, 8).Draw(t, "sends") {
			at := router()
			other := Fingerprint(100 + send)
			switch f.check(at, crashing) {
			case VerdictFree, VerdictExclusive:
				f.step(at, EndpointFailed{ID: 1, Fingerprint: crashing, Endpoint: endpoint(send)})
				f.step(at, RunEnded{Fingerprint: crashing})
				crashed++
				others = append(others, other)
				f.step(router(), EndpointFailed{ID: 1, Fingerprint: other, Endpoint: endpoint(send)})
			}
			f.advance(firstResendDelay) // the caller's delay before a retry, in which evidence is sent again
			f.advance(2 * firstResendDelay)
		}
		if crashed > 2 {
			t.Fatalf("the request crashed %d endpoints", crashed)
		}
		f.lose = loseNothing
		for _, fp := range others {
			at := router()
			if v := f.check(at, fp); v != VerdictFree && v != VerdictExclusive {
				t.Fatalf("a request that only ran beside the crashing one got verdict %d", v)
			}
			// A router that has not received the evidence cannot clear it; the
			// request runs there without restrictions.
			hasRecord := f.tables[at].records[fp] != nil
			f.step(at, RunEnded{Fingerprint: fp, Finished: true})
			if v := f.check(router(), fp); hasRecord && v != VerdictFree {
				t.Fatalf("a request that finished got verdict %d", v)
			}
		}
	})
}
