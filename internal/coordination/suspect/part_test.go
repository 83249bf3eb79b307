package suspect

import (
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
	fp := f.newRequest()
	f.step(at, EndpointFailed{ID: f.lastID, Fingerprint: fp, Parts: parts, Endpoint: e, BeganAt: f.now.Add(-100 * time.Millisecond)})
	f.step(at, RunEnded{Fingerprint: fp, Parts: parts})
}

// partsServed reports that a new request with the given parts was served.
func (f *fleet) partsServed(at view.RouterID, parts ...Fingerprint) {
	f.step(at, RunEnded{Fingerprint: f.newRequest(), Parts: parts, Finished: true, Served: true})
}

// checkParts checks a new request with the given parts.
func (f *fleet) checkParts(at view.RouterID, parts ...Fingerprint) CheckResult {
	fp := f.newRequest()
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
	f.partsServed("r0", commonPart, PartBit|10)
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
			f.partsServed(id, commonPart, PartBit|10)
		}
		crashed := 0
		var beside [][]Fingerprint // requests that ran at a crash and are retried
		for send := range rapid.IntRange(5, 15).Draw(t, "sends") {
			rare := PartBit | Fingerprint(1000+send)
			crashing := []Fingerprint{commonPart, crashingPart}
			if rapid.Bool().Draw(t, "with another rare part") {
				crashing = append(crashing, rare)
			}
			if at := router(); f.checkParts(at, crashing...).Verdict != VerdictRejected {
				e := endpoint(send)
				f.partsFailed(at, e, crashing...)
				crashed++
				for _, parts := range beside {
					if rapid.Bool().Draw(t, "retried there") {
						f.partsFailed(router(), e, parts...)
					}
				}
				for n := range rapid.IntRange(0, 4).Draw(t, "new") {
					parts := []Fingerprint{commonPart, PartBit | Fingerprint(2000+10*send+n)}
					beside = append(beside, parts)
					f.partsFailed(router(), e, parts...)
				}
			}
			f.advance(time.Duration(rapid.IntRange(150, 1500).Draw(t, "millis")) * time.Millisecond)
			if rapid.IntRange(1, 5).Draw(t, "restart") == 1 {
				f.restart(router())
			}
			for _, parts := range beside {
				if at := router(); f.checkParts(at, parts...).Verdict == VerdictRejected {
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
