package suspect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/state/view"
)

// The parts of the tests: commonPart is in nearly all prompts, and each endpoint that
// answers on crashingPart crashes.
const (
	commonPart   = PartBit | 1
	crashingPart = PartBit | 2
)

// newRequest returns the fingerprint of a request that was not sent before.
func (f *fleet) newRequest() Fingerprint {
	f.lastID++
	return Fingerprint(1<<32 + f.lastID)
}

// partsFailed reports that an endpoint failed under a new request with the given
// parts.
func (f *fleet) partsFailed(at view.RouterID, e view.EndpointID, parts ...Fingerprint) {
	f.requestFailed(at, e, f.newRequest(), parts...)
}

// requestFailed reports that an endpoint failed under a request.
func (f *fleet) requestFailed(at view.RouterID, e view.EndpointID, fp Fingerprint, parts ...Fingerprint) {
	f.lastID++
	f.step(at, EndpointFailed{ID: f.lastID, Fingerprint: fp, Parts: parts, Endpoint: e, BeganAt: f.now.Add(-100 * time.Millisecond)})
	f.step(at, RunEnded{Fingerprint: fp, Parts: parts})
}

// partsServed reports that a new request with the given parts was served.
func (f *fleet) partsServed(at view.RouterID, parts ...Fingerprint) {
	f.step(at, RunEnded{Fingerprint: f.newRequest(), Parts: parts, Finished: true, Served: true})
}

// checkParts checks a new request with the given parts.
func (f *fleet) checkParts(at view.RouterID, parts ...Fingerprint) CheckResult {
	return f.checkRequest(at, f.newRequest(), parts...)
}

// checkRequest checks a request that does not run then.
func (f *fleet) checkRequest(at view.RouterID, fp Fingerprint, parts ...Fingerprint) CheckResult {
	f.lastID++
	id := f.lastID
	f.step(at, CheckRequest{ID: id, Fingerprint: fp, Parts: parts, Deadline: f.now.Add(time.Second)})
	f.step(at, RunEnded{Fingerprint: fp, Parts: parts})
	return f.checked[id]
}

// heldEverywhere reports whether all routers reject new requests with the given
// parts, and servedEverywhere whether none does.
func (f *fleet) heldEverywhere(parts ...Fingerprint) bool {
	return !slices.ContainsFunc(f.ids, func(id view.RouterID) bool { return f.checkParts(id, parts...).Verdict != VerdictRejected })
}

func (f *fleet) servedEverywhere(parts ...Fingerprint) bool {
	return !slices.ContainsFunc(f.ids, func(id view.RouterID) bool { return f.checkParts(id, parts...).Verdict != VerdictFree })
}

// TestPartThatCrashesEndpointsIsHeldBack guards against a part of prompts that crashes
// one endpoint after the other, because no two of the requests with it are alike.
func TestPartThatCrashesEndpointsIsHeldBack(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	for range 3 {
		f.partsServed("r0", commonPart, PartBit|10)
	}
	for i := range 3 {
		f.partsFailed(f.ids[i], endpoint(i), commonPart, crashingPart)
		f.partsFailed(f.ids[3], endpoint(i), commonPart, PartBit|Fingerprint(20+i)) // ran beside it
	}
	f.advance(settleTime)
	is.True(f.heldEverywhere(commonPart, crashingPart))
	is.True(f.heldEverywhere(crashingPart))
	is.True(f.servedEverywhere(commonPart))
	for i := range 3 {
		is.True(f.servedEverywhere(commonPart, PartBit|Fingerprint(20+i)))
	}
}

// TestPartStopsBeforeFifthCrash checks that a part which crashes every endpoint
// crashes at most five, whatever runs beside it and wherever that is retried, and
// that requests without it are not held back for their parts.
func TestPartStopsBeforeFifthCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newOpenFleet(rapid.IntRange(2, 7).Draw(t, "routers"))
		router := func() view.RouterID { return rapid.SampledFrom(f.ids).Draw(t, "router") }
		for _, id := range f.ids[1:] {
			for range 5 {
				f.partsServed(id, commonPart, PartBit|10)
			}
		}
		// beside holds the requests that ran at a crash, by their rare part. One has up to
		// four attempts.
		type request struct {
			fingerprint Fingerprint
			left        int
		}
		beside := map[Fingerprint]*request{}
		crashed := 0
		crash := func(at view.RouterID, fp Fingerprint, crashing []Fingerprint) {
			e := endpoint(crashed)
			crashed++
			f.requestFailed(at, e, fp, crashing...)
			for _, p := range sortedKeys(beside) {
				if r := beside[p]; r.left > 0 && rapid.Bool().Draw(t, "retried there") {
					r.left--
					f.requestFailed(router(), e, r.fingerprint, commonPart, p)
				}
			}
			for n := range rapid.IntRange(0, 4).Draw(t, "new") {
				p := PartBit | Fingerprint(2000+10*crashed+n)
				beside[p] = &request{f.newRequest(), 3}
				f.requestFailed(router(), e, beside[p].fingerprint, commonPart, p)
			}
		}
		for send := range rapid.IntRange(5, 15).Draw(t, "sends") {
			crashing := []Fingerprint{commonPart, crashingPart}
			if rapid.Bool().Draw(t, "with another rare part") {
				crashing = append(crashing, PartBit|Fingerprint(1000+send))
			}
			at, fp := router(), f.newRequest()
			for range rapid.IntRange(1, 3).Draw(t, "attempts") {
				if f.checkRequest(at, fp, crashing...).Verdict == VerdictFree {
					crash(at, fp, crashing)
				}
				f.advance(settleTime)
			}
			f.advance(time.Duration(rapid.IntRange(50, 1400).Draw(t, "millis")) * time.Millisecond)
			if rapid.IntRange(1, 5).Draw(t, "restart") == 1 {
				f.restart(router())
			}
			for _, p := range sortedKeys(beside) {
				if f.checkParts(router(), commonPart, p).Verdict == VerdictRejected {
					t.Fatalf("a request without the part is held back")
				}
			}
		}
		if crashed > 5 {
			t.Fatalf("the part crashed %d endpoints", crashed)
		}
	})
}

// restart replaces a router by one that starts empty and receives the list of
// evidence from one that it joins at.
func (f *fleet) restart(at view.RouterID) {
	others := slices.DeleteFunc(slices.Clone(f.ids), func(id view.RouterID) bool { return id == at })
	f.tables[at] = New(Options{Self: at, ConfirmTimeout: testConfirmTimeout})
	f.ids = others
	f.updateView()
	f.step(at, Delivery{others[0], EvidenceUpdate{Evidence: f.list(others[0])}})
	f.ids = append(f.ids, at)
	slices.Sort(f.ids)
	f.updateView()
}

// list returns the evidence that a router lists for one that starts.
func (f *fleet) list(at view.RouterID) []Evidence {
	for _, o := range f.tables[at].Step(f.now, ListRequest{ID: 1}) {
		if l, ok := o.(EvidenceList); ok {
			return l.Evidence
		}
	}
	return nil
}

// convictPart makes the given parts be at three crashes and lets the evidence settle.
func (f *fleet) convictPart(parts ...Fingerprint) {
	for i := range partThreshold {
		f.partsFailed(f.ids[i%len(f.ids)], endpoint(i), parts...)
	}
	f.advance(settleTime)
}

// TestServedPartsAreNotSuspected guards against holding back a part that many requests
// share because a router that has not seen it served reports crashes under it.
func TestServedPartsAreNotSuspected(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	for range 4 {
		f.partsServed("r3", commonPart)
	}
	for i := range 4 {
		f.partsFailed("r0", endpoint(i), commonPart)
	}
	f.advance(settleTime)
	is.True(f.servedEverywhere(commonPart)) // r3 has objected
	f.partsServed("r0", commonPart)
	before := f.sent
	f.partsFailed("r0", endpoint(9), commonPart)
	f.partsFailed("r0", endpoint(9), commonPart) // another attempt at the same crash
	is.Equal(f.sent-before, 2*2*3)               // the evidence against the requests, and its confirmations
}

// TestOneAnswerDoesNotClearPartForLong guards against a part that crashes endpoints
// without end because one answer on it ended before the crash.
func TestOneAnswerDoesNotClearPartForLong(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.partsServed("r1", crashingPart)
	f.partsFailed("r0", endpoint(9), crashingPart)
	f.convictPart(crashingPart)
	is.True(f.heldEverywhere(crashingPart))
}

// TestServedPartIsReleased guards against holding back a part for longer than until one
// of the runs that were under way is served.
func TestServedPartIsReleased(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	f.convictPart(crashingPart)
	is.True(f.heldEverywhere(crashingPart))
	f.partsServed("r2", crashingPart)
	is.True(f.servedEverywhere(crashingPart))
	f.convictPart(PartBit | 8)
	f.step("r1", PartsServed{Parts: []Fingerprint{PartBit | 8}}) // it streams for long
	is.True(f.servedEverywhere(PartBit | 8))
}

// TestFailedAnswerShowsNothingAboutParts guards against clearing a part by answers of
// endpoints that rejected its requests.
func TestFailedAnswerShowsNothingAboutParts(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.step("r1", RunEnded{Fingerprint: 5, Parts: []Fingerprint{crashingPart}, Finished: true})
	f.convictPart(crashingPart)
	is.True(f.heldEverywhere(crashingPart))
}

// TestPartsThatCrashTogetherAreToldApart guards against holding back a rare part because
// all requests with it also had the one that crashes endpoints.
func TestPartsThatCrashTogetherAreToldApart(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	const rare = PartBit | 30
	f.convictPart(rare, crashingPart)
	is.True(f.heldEverywhere(rare, crashingPart))
	is.True(f.servedEverywhere(rare)) // it may be either
	f.partsServed("r1", rare)
	f.advance(settleTime)
	is.True(f.servedEverywhere(rare))
	is.True(f.heldEverywhere(crashingPart))
}

// TestPartsInOtherRequestsAreHeldAfterFiveCrashes guards against a part that goes on
// crashing endpoints because another request was at each of the crashes.
func TestPartsInOtherRequestsAreHeldAfterFiveCrashes(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	for i := range separateThreshold {
		is.True(f.servedEverywhere(crashingPart))
		f.partsFailed("r0", endpoint(i), crashingPart)
		f.partsFailed("r1", endpoint(i), PartBit|30)
		f.advance(settleTime)
	}
	is.True(f.heldEverywhere(crashingPart))
}

// TestTwoPartsCrashEndpoints guards against taking the part that the requests with two
// crashing parts share for the cause, and against missing the second one.
func TestTwoPartsCrashEndpoints(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	const second = PartBit | 3
	for i := range 2 * partThreshold {
		f.partsFailed(f.ids[i%3], endpoint(i), commonPart, []Fingerprint{crashingPart, second}[i%2])
		f.partsServed("r2", commonPart)
	}
	f.advance(settleTime)
	is.True(f.heldEverywhere(crashingPart))
	is.True(f.heldEverywhere(second))
	is.True(f.servedEverywhere(commonPart))
}

// TestRequestBesideCrashingPartIsReleased guards against rejecting a request as a whole
// for crashes that are put down to a part that it does not contain, and against losing
// sight of one that contains it.
func TestRequestBesideCrashingPartIsReleased(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e0", 7)
	f.failed("r0", "e1", 7)
	is.True(f.rejectedEverywhere(7))
	f.convictPart(crashingPart) // at e0, e1 and e2
	is.True(f.freeEverywhere(7))
	f.failed("r1", "e7", 7)
	f.failed("r1", "e8", 7) // other crashes count
	is.True(f.rejectedEverywhere(7))
	f.advance(firstRejection)
	for _, id := range f.ids {
		in := CheckRequest{Fingerprint: 7, Parts: []Fingerprint{crashingPart}}
		is.Equal(f.tables[id].unexplained(f.now, in), 4)
	}
}

// TestPartsOfOneRequestAreNotConvicted guards against holding back the neighbours of a
// request that crashes endpoints and comes again unchanged.
func TestPartsOfOneRequestAreNotConvicted(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	for i := range 6 {
		f.lastID++
		f.step("r0", EndpointFailed{ID: f.lastID, Fingerprint: 7, Parts: []Fingerprint{PartBit | 30}, Endpoint: endpoint(i)})
		f.advance(time.Second)
	}
	is.True(f.rejectedEverywhere(7))
	is.True(f.servedEverywhere(PartBit | 30))
	f.partsFailed("r0", endpoint(6), PartBit|30) // another request with that part
	f.advance(settleTime)
	is.True(f.heldEverywhere(PartBit | 30))
}

// TestConvictedPartIsTriedOnceInTheFleet guards against losing an endpoint for each
// router when the rejection of a part has ended.
func TestConvictedPartIsTriedOnceInTheFleet(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	f.convictPart(crashingPart)
	is.True(f.heldEverywhere(crashingPart))
	last := f.now.Add(-settleTime)
	for round := range 3 {
		pause := firstRejection << round
		f.now = last.Add(pause - time.Millisecond)
		is.True(f.heldEverywhere(crashingPart))
		f.now = last.Add(pause + 5*time.Second)
		var tried []view.RouterID
		for _, id := range f.ids {
			for range 2 { // the second one while the first one runs
				fp := f.newRequest()
				f.step(id, CheckRequest{ID: f.lastID, Fingerprint: fp, Parts: []Fingerprint{crashingPart}, Deadline: f.now.Add(time.Second)})
				check := f.checked[f.lastID]
				if check.Verdict == VerdictFree {
					tried = append(tried, id)
				} else {
					is.True(check.Until.After(f.now))
				}
			}
		}
		is.Equal(len(tried), 1)
		// It is checked again right before it is sent.
		f.step(tried[0], CheckRequest{ID: 9999, Fingerprint: f.newRequest(), Parts: []Fingerprint{crashingPart}})
		is.Equal(f.checked[9999].Verdict, VerdictFree)
		f.partsFailed(tried[0], endpoint(50+round), crashingPart)
		last = f.now
		f.advance(settleTime)
		is.True(f.heldEverywhere(crashingPart))
	}
}

// TestTrialThatCrashesIsNotRepeatedAtOnce guards against losing a further endpoint to a
// trial: its own retry, or the next request, before the crash has been judged.
func TestTrialThatCrashesIsNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	f.convictPart(crashingPart)
	f.now = f.now.Add(firstRejection)
	owner := f.tables["r0"].view.Owners(ownerKey(crashingPart), 1)[0]
	fp := f.newRequest()
	f.step(owner, CheckRequest{ID: f.lastID, Fingerprint: fp, Parts: []Fingerprint{crashingPart}, Deadline: f.now.Add(time.Second)})
	is.Equal(f.checked[f.lastID].Verdict, VerdictFree)
	f.requestFailed(owner, endpoint(50), fp, crashingPart)
	is.True(f.checkRequest(owner, fp, crashingPart).Verdict == VerdictRejected)
	is.True(f.heldEverywhere(crashingPart))
	f.advance(settleTime)
	is.True(f.heldEverywhere(crashingPart))
}

// TestConvictedPartIsTriedByOtherRouters guards against a part that stays rejected since
// no request with it comes to the router whose turn it is.
func TestConvictedPartIsTriedByOtherRouters(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.convictPart(crashingPart)
	last := f.tables["r0"].view.Owners("suspect/"+formatFingerprints([]Fingerprint{crashingPart}), 3)[2]
	f.now = f.now.Add(2 * firstRejection)
	held := f.checkParts(last, crashingPart)
	is.Equal(held.Verdict, VerdictRejected)
	f.now = held.Until
	is.Equal(f.checkParts(last, crashingPart).Verdict, VerdictFree)
	f.partsServed(last, crashingPart)
	is.True(f.servedEverywhere(crashingPart))
}

// TestStartingRouterKnowsConvictedParts guards against a router that starts empty and
// passes on requests with a part that the others reject.
func TestStartingRouterKnowsConvictedParts(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	for n := range maxEvidencePerMessage { // requests that are rejected as a whole
		f.failed("r0", "x1", Fingerprint(100+n))
		f.failed("r0", "x2", Fingerprint(100+n))
	}
	f.convictPart(crashingPart)
	started := New(Options{Self: "r9", ConfirmTimeout: testConfirmTimeout})
	started.Step(f.now, Delivery{"r0", EvidenceUpdate{Evidence: f.list("r0")}})
	out := started.Step(f.now, CheckRequest{ID: 1, Fingerprint: 5, Parts: []Fingerprint{crashingPart}, Deadline: f.now.Add(time.Second)})
	check, ok := out[0].(CheckResult)
	is.True(ok)
	is.Equal(check.Verdict, VerdictRejected)
}

// TestJoiningRouterGetsEvidenceBesideDeadOwner guards against a router that starts and
// learns of no part that crashes endpoints, because it and a dead router own the part.
func TestJoiningRouterGetsEvidenceBesideDeadOwner(t *testing.T) {
	is := is.New(t)
	var owners []view.RouterID // that come before r0
	for n := 0; len(owners) < ownersPerFingerprint && n < 1000; n++ {
		id := view.RouterID(fmt.Sprint("o", n))
		both := &view.Snapshot{Routers: []view.Router{{ID: "r0"}, {ID: id}}}
		if both.Owners(ownerKey(crashingPart), 1)[0] == id {
			owners = append(owners, id)
		}
	}
	dead, joined := owners[0], owners[1]
	table := New(Options{Self: "r0", ConfirmTimeout: testConfirmTimeout})
	now := time.Now()
	table.Step(now, Change{&view.Snapshot{Self: "r0", Routers: []view.Router{{ID: "r0"}, {ID: dead}}}})
	for n := range partThreshold {
		table.Step(now, EndpointFailed{ID: 1, Fingerprint: Fingerprint(n + 1), Parts: []Fingerprint{crashingPart}, Endpoint: endpoint(n), BeganAt: now})
	}
	crashes := 0
	for _, o := range table.Step(now, Change{&view.Snapshot{Self: "r0", Routers: []view.Router{{ID: "r0"}, {ID: dead, Suspected: true}, {ID: joined}}}}) {
		s, ok := o.(Send)
		if !ok || s.To != joined {
			continue
		}
		if m, ok := s.Message.(EvidenceUpdate); ok {
			for _, e := range m.Evidence {
				if e.Fingerprint == crashingPart {
					crashes++
				}
			}
		}
	}
	is.Equal(crashes, partThreshold)
}

// TestClockOfAnotherRouterDoesNotReleaseParts guards against a rejection that ends at
// once, or lasts for hours, because the router that saw the crashes has another clock.
func TestClockOfAnotherRouterDoesNotReleaseParts(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -2 * time.Minute, 2 * time.Minute, time.Hour} {
		is := is.New(t)
		f := newOpenFleet(1)
		other := New(Options{Self: "r9", ConfirmTimeout: testConfirmTimeout})
		other.Step(f.now.Add(ahead), Change{&view.Snapshot{Routers: []view.Router{{ID: "r0"}, {ID: "r9"}}}})
		for i := range partThreshold {
			in := EndpointFailed{ID: 1, Fingerprint: Fingerprint(i + 1), Parts: []Fingerprint{crashingPart}, Endpoint: endpoint(i), BeganAt: f.now.Add(ahead)}
			for _, o := range append([]Output(nil), other.Step(f.now.Add(ahead), in)...) {
				if s, ok := o.(Send); ok {
					f.step("r0", Delivery{"r9", s.Message})
				}
			}
		}
		f.advance(settleTime)
		held := f.checkParts("r0", crashingPart)
		is.Equal(held.Verdict, VerdictRejected)
		is.True(held.Until.Sub(f.now) <= firstRejection)
		is.True(held.Until.Sub(f.now) >= firstRejection-2*settleTime)
	}
}

// TestInventedPartsAreBounded guards against a caller that fills the memory of a router
// with parts, and against forgetting the convicted one meanwhile.
func TestInventedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(1)
	f.convictPart(crashingPart)
	for n := range Fingerprint(2 * maxRecords) {
		if n%64 == 0 {
			f.advance(time.Millisecond)
		}
		f.partsFailed("r0", "e9", PartBit|(1000+n))
	}
	for n := range Fingerprint(3 * maxServedParts) {
		f.partsServed("r0", PartBit|(1<<20+n))
	}
	table := f.tables["r0"]
	is.True(table.Len() <= maxRecords)
	is.True(len(table.served.current)+len(table.served.previous) <= 2*maxServedParts)
	is.True(f.heldEverywhere(crashingPart))
}
