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

// TestMain fixes the seed of the property tests, so that every run gives the
// same verdict; the flag on the command line goes before it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fleet is a set of tables with a network between them that may lose
// messages. Its clock moves only by hand.
type fleet struct {
	now    time.Time
	tables map[view.RouterID]*Table
	ids    []view.RouterID
	lose   func(from, to view.RouterID) bool
	judged map[uint64]CheckResult
	told   map[uint64]bool
	lastID uint64
	sent   int
}

func newFleet(routers int) *fleet {
	f := &fleet{now: time.Unix(1e6, 0), tables: map[view.RouterID]*Table{}, judged: map[uint64]CheckResult{}, told: map[uint64]bool{}, lose: lossless}
	for i := range routers {
		id := view.RouterID(fmt.Sprint("r", i))
		f.ids = append(f.ids, id)
		f.tables[id] = New(id)
	}
	f.publish()
	return f
}

func (f *fleet) publish() {
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
			f.judged[o.ID] = o
		case BroadcastDone:
			f.told[o.ID] = true
		}
	}
}

// judge asks at a router and lets time pass until there is a verdict.
func (f *fleet) judge(at view.RouterID, fp Fingerprint) Verdict {
	f.lastID++
	id := f.lastID
	f.step(at, CheckRequest{id, fp, f.now.Add(time.Second)})
	for range 20 {
		if j, ok := f.judged[id]; ok {
			return j.Verdict
		}
		f.pass(100 * time.Millisecond)
	}
	return VerdictBusy
}

func (f *fleet) pass(d time.Duration) {
	f.now = f.now.Add(d)
	for _, id := range f.ids {
		f.step(id, Alarm{})
	}
}

func lossless(_, _ view.RouterID) bool { return false }

func endpoint(i int) view.EndpointID { return view.EndpointID(fmt.Sprint("e", i)) }

func TestSecondCrashConvictsEverywhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	is.Equal(f.judge("r0", 7), VerdictFree)
	f.step("r0", EndpointFailed{1, 7, "e1"})
	is.Equal(f.judge("r1", 7), VerdictAlone)
	f.step("r1", EndpointFailed{1, 7, "e2"})
	f.step("r1", RunEnded{7, false})
	for _, id := range f.ids {
		is.Equal(f.judge(id, 7), VerdictRejected)
	}
	f.pass(evidenceLife + time.Second)
	is.Equal(f.judge("r2", 7), VerdictFree)
	is.Equal(f.tables["r2"].Len(), 0)
}

// TestFailureIsToldOnceRoutersKnow is a link that drops what it is given for a
// while after it could not be opened: a caller that hears of the failure may
// ask the router behind it at once.
func TestFailureIsToldOnceRoutersKnow(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	opens := f.now.Add(250 * time.Millisecond)
	f.lose = func(from, to view.RouterID) bool { return from == "r0" && to == "r2" && f.now.Before(opens) }
	f.step("r0", EndpointFailed{41, 7, "e1"})
	is.True(!f.told[41])
	is.Equal(f.judge("r1", 7), VerdictAlone)
	f.step("r1", RunEnded{7, false})
	for f.now.Before(opens) {
		is.True(!f.told[41])
		f.pass(tellEvery)
	}
	f.pass(tellEvery)
	is.True(f.told[41])
	is.Equal(f.tables["r2"].count(f.now, 7), 1) // and now it knows

	// One that cannot be reached, or that leaves, holds nobody up for long.
	f.lose = func(from, to view.RouterID) bool { return from == "r0" && to == "r2" }
	f.step("r0", EndpointFailed{42, 7, "e2"})
	f.pass(tellWithin)
	is.True(f.told[42])
	f.step("r0", EndpointFailed{43, 8, "e2"})
	is.True(!f.told[43])
	f.ids = []view.RouterID{"r0", "r1"}
	f.publish()
	is.True(f.told[43])
}

func TestOneEndpointConvictsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{1, 7, "e1"})
	f.step("r1", EndpointFailed{1, 7, "e1"})
	is.Equal(f.judge("r2", 7), VerdictAlone)
}

func TestFinishingClears(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{1, 7, "e1"})
	is.Equal(f.judge("r1", 7), VerdictAlone)
	f.step("r1", RunEnded{7, true})
	f.step("r2", Delivery{"r0", EvidenceUpdate{Evidence: []Evidence{{Fingerprint: 7, Endpoint: "e1", At: f.now, Until: f.now.Add(time.Minute)}}}}) // late news
	for _, id := range f.ids {
		is.Equal(f.judge(id, 7), VerdictFree)
	}
}

func TestEndpointThatLivesClears(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{1, 7, "e1"})
	asked := f.now
	f.step("r0", EndpointAlive{"e1", asked}) // asked before the failure, or at it
	is.Equal(f.judge("r1", 7), VerdictAlone)
	f.step("r1", RunEnded{7, false})
	f.step("r0", EndpointAlive{"e1", asked.Add(2 * skewAllowance)})
	is.Equal(f.judge("r1", 7), VerdictFree)
}

func TestSuspectRunsOnceAtATimeInTheFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	f.step("r0", EndpointFailed{1, 7, "e1"})
	is.Equal(f.judge("r1", 7), VerdictAlone)
	is.Equal(f.judge("r2", 7), VerdictBusy)
	is.Equal(f.judge("r1", 7), VerdictBusy) // nor twice at one router
	f.step("r1", RunEnded{7, false})
	is.Equal(f.judge("r2", 7), VerdictAlone)
}

func TestEvidenceSurvivesItsRouterAndReachesNewOnes(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.step("r0", EndpointFailed{1, 7, "e1"})
	delete(f.tables, "r0")
	f.ids = []view.RouterID{"r1", "r2", "r3"}
	f.publish()
	f.ids = append(f.ids, "r4")
	f.tables["r4"] = New("r4")
	f.publish()
	is.Equal(f.judge("r4", 7), VerdictAlone)
}

func TestUnsuspectedRequestsCostNoMessage(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.step("r0", EndpointFailed{1, 7, "e1"})
	before := f.sent
	for i := range 1000 {
		is.Equal(f.judge("r1", Fingerprint(100+i)), VerdictFree)
		f.step("r1", RunEnded{Fingerprint(100 + i), true})
	}
	is.Equal(f.sent, before)
}

// TestKillerLosesAtMostTwoEndpoints resends a request that crashes whatever
// runs it, through any routers, while messages are lost and routers restart.
// Innocent requests run beside it.
func TestKillerLosesAtMostTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const killer = Fingerprint(7)
		f := newFleet(rapid.IntRange(2, 7).Draw(t, "routers"))
		lost := 0
		// A link fails for less than the time in which news is sent three
		// times, and not again soon after.
		type link struct{ from, to view.RouterID }
		failsUntil, holdsUntil := map[link]time.Time{}, map[link]time.Time{}
		f.lose = func(from, to view.RouterID) bool {
			l := link{from, to}
			if !f.now.Before(holdsUntil[l]) && rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
				failsUntil[l] = f.now.Add(time.Duration(rapid.IntRange(1, 2900).Draw(t, "millis")) * time.Millisecond)
				holdsUntil[l] = f.now.Add(10 * time.Second)
			}
			return f.now.Before(failsUntil[l])
		}
		router := func() view.RouterID { return rapid.SampledFrom(f.ids).Draw(t, "router") }
		var innocents []Fingerprint
		for send := range rapid.IntRange(1, 8).Draw(t, "sends") {
			at := router()
			beside := Fingerprint(100 + send)
			switch f.judge(at, killer) {
			case VerdictFree, VerdictAlone:
				f.step(at, EndpointFailed{1, killer, endpoint(send)})
				f.step(at, RunEnded{killer, false})
				lost++
				innocents = append(innocents, beside)
				f.step(router(), EndpointFailed{1, beside, endpoint(send)})
			}
			f.pass(repeatFirst) // the caller's pause, in which news is repeated
			f.pass(2 * repeatFirst)
		}
		if lost > 2 {
			t.Fatalf("the request crashed %d endpoints", lost)
		}
		f.lose = lossless
		for _, fp := range innocents {
			at := router()
			if v := f.judge(at, fp); v != VerdictFree && v != VerdictAlone {
				t.Fatalf("an innocent request got verdict %d", v)
			}
			// A router that missed the news cannot clear what it does not
			// know; there the request just runs.
			known := f.tables[at].files[fp] != nil
			f.step(at, RunEnded{fp, true})
			if v := f.judge(router(), fp); known && v != VerdictFree {
				t.Fatalf("a request that finished got verdict %d", v)
			}
		}
	})
}
