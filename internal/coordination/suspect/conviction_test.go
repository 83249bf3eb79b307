package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/state/view"
)

// newOpenFleet returns a fleet whose suspects run without restrictions.
func newOpenFleet(routers int) *fleet {
	f := newFleet(routers)
	for _, id := range f.ids {
		f.tables[id] = New(Options{Self: id, ConfirmTimeout: testConfirmTimeout})
	}
	f.updateView()
	return f
}

func (f *fleet) failed(at view.RouterID, e view.EndpointID, requests ...Fingerprint) {
	for _, fp := range requests {
		f.lastID++
		f.step(at, EndpointFailed{ID: f.lastID, Fingerprint: fp, Endpoint: e})
		f.step(at, RunEnded{Fingerprint: fp})
	}
}

// failedAfter reports that an endpoint failed after a request had run there for the
// given time.
func (f *fleet) failedAfter(d time.Duration, at view.RouterID, e view.EndpointID, fp Fingerprint) {
	f.lastID++
	f.step(at, EndpointFailed{ID: f.lastID, Fingerprint: fp, Endpoint: e, BeganAt: f.now.Add(-d)})
	f.step(at, RunEnded{Fingerprint: fp})
}

func (f *fleet) rejectedEverywhere(fp Fingerprint) bool {
	for _, id := range f.ids {
		if f.check(id, fp) != VerdictRejected {
			return false
		}
	}
	return true
}

func (f *fleet) freeEverywhere(fp Fingerprint) bool {
	for _, id := range f.ids {
		if f.check(id, fp) != VerdictFree {
			return false
		}
	}
	return true
}

// TestSecondCrashRejectsTheRepeatedRequest guards against a request that crashes
// more than two endpoints, and against holding back those that ran beside it.
func TestSecondCrashRejectsTheRepeatedRequest(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7, 8, 9)
	is.True(f.freeEverywhere(7)) // after one failure it may be any of them
	f.failed("r1", "e2", 7, 10)
	is.True(f.rejectedEverywhere(7))
	for _, other := range []Fingerprint{8, 9, 10} {
		is.True(f.freeEverywhere(other))
	}
}

// TestRequestsThatFailTogetherAreNotRejected guards against rejecting a request
// that met the one that crashes endpoints at two of them.
func TestRequestsThatFailTogetherAreNotRejected(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7, 8)
	f.failed("r1", "e2", 7)
	f.failed("r2", "e2", 8)
	is.True(f.freeEverywhere(7))
	is.True(f.freeEverywhere(8))
	f.step("r2", RunEnded{Fingerprint: 8, Finished: true}) // its answer clears 8, and leaves 7 alone
	is.True(f.freeEverywhere(8))
	is.True(f.rejectedEverywhere(7))
}

// TestSecondCrashRejectsTheOneThatFailsAlike guards against losing a third endpoint
// to a request because another one met it at both endpoints.
func TestSecondCrashRejectsTheOneThatFailsAlike(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failedAfter(40*time.Millisecond, "r0", "e1", 7)
	f.failedAfter(300*time.Millisecond, "r1", "e1", 8)
	f.failedAfter(65*time.Millisecond, "r0", "e2", 7)
	f.failedAfter(65*time.Millisecond, "r1", "e2", 8)
	is.True(f.freeEverywhere(8))
	is.True(f.rejectedEverywhere(7))
}

// TestCopiesCountByTheLongestRun guards against verdicts that differ between routers
// because evidence of several copies of a request reached them in another order.
func TestCopiesCountByTheLongestRun(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	for _, copies := range [][]time.Duration{{10, 300}, {300, 10}} {
		for i, d := range copies {
			f.failedAfter(d*time.Millisecond, f.ids[i], "e1", 8)
		}
	}
	f.failedAfter(40*time.Millisecond, "r0", "e1", 7)
	f.failedAfter(60*time.Millisecond, "r0", "e2", 7)
	f.failedAfter(60*time.Millisecond, "r1", "e2", 8)
	is.True(f.freeEverywhere(8))
	is.True(f.rejectedEverywhere(7))
}

// TestVerdictWaitsForOtherEvidence guards against rejecting a request because the
// evidence against the one that crashed the endpoint has not arrived yet.
func TestVerdictWaitsForOtherEvidence(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7, 8)
	f.failed("r1", "e2", 8)
	f.step("r1", CheckRequest{ID: 900, Fingerprint: 8, Deadline: f.now.Add(time.Second)})
	_, decided := f.checked[900]
	is.True(!decided)
	f.failed("r0", "e2", 7) // the router at which 7 ran has just seen it
	f.advance(settleTime)
	is.Equal(f.checked[900].Verdict, VerdictFree)
	f.step("r1", RunEnded{Fingerprint: 8, Finished: true})
	is.True(f.rejectedEverywhere(7))
}

// TestConvictionWaitsForRunsUnderWay guards against refusing a request that is sent
// often and was at two endpoints that crashed for another reason, although other
// runs of it are about to finish.
func TestConvictionWaitsForRunsUnderWay(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7)
	f.advance(300 * time.Millisecond)
	f.failed("r1", "e2", 7)
	f.step("r1", CheckRequest{ID: 900, Fingerprint: 7, Deadline: f.now.Add(time.Second)})
	for range 4 {
		f.advance(settleTime)
	}
	_, decided := f.checked[900]
	is.True(!decided)
	f.step("r2", RunEnded{Fingerprint: 7, Finished: true}) // it ran at an endpoint that did not crash
	is.Equal(f.checked[900].Verdict, VerdictFree)
}

// TestConvictionDoesNotWaitForLong guards against a caller that is refused late, and
// against runs of a request that crashes endpoints while its conviction waits.
func TestConvictionDoesNotWaitForLong(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7)
	f.failed("r1", "e2", 7)
	for i, id := range f.ids {
		f.step(id, CheckRequest{ID: uint64(900 + i), Fingerprint: 7, Deadline: f.now.Add(time.Second)})
		f.step(id, CheckRequest{ID: uint64(910 + i), Fingerprint: 7}) // right before it is sent
		is.True(f.checked[uint64(910+i)].Verdict != VerdictFree)
	}
	for range 5 {
		f.advance(100 * time.Millisecond)
	}
	for i := range f.ids {
		is.Equal(f.checked[uint64(900+i)].Verdict, VerdictRejected)
	}
}

// TestRequestThatFinishedNeedsThirdCrash guards against refusing a request that is
// sent often beside frequent crashes: it finishes between them, but two may follow
// each other before one of its runs does.
func TestRequestThatFinishedNeedsThirdCrash(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7)
	f.step("r1", RunEnded{Fingerprint: 7, Finished: true})
	f.failed("r0", "e2", 7)
	f.failed("r1", "e3", 7)
	is.True(f.freeEverywhere(7))
	f.failed("r2", "e4", 7)
	is.True(f.rejectedEverywhere(7))
}

// TestAnswerLongAgoIsNoExcuse guards against losing a third endpoint to a request
// that finished only before it began to crash endpoints.
func TestAnswerLongAgoIsNoExcuse(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7)
	f.step("r1", RunEnded{Fingerprint: 7, Finished: true})
	f.failed("r0", "e2", 7)
	f.advance(clearedLifetime)
	f.failed("r1", "e3", 7)
	is.True(f.rejectedEverywhere(7))
}

// TestThirdCrashRejectsInAnyCase guards against requests that always crash
// endpoints together, so that neither is the only suspect.
func TestThirdCrashRejectsInAnyCase(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	for _, e := range []view.EndpointID{"e1", "e2", "e3"} {
		f.failed("r0", e, 7, 8)
	}
	is.True(f.rejectedEverywhere(7))
	is.True(f.rejectedEverywhere(8))
}

// TestRejectionEndsAndGrows guards against rejecting a request for good that was
// convicted by mistake, and against losing an endpoint every few seconds to one
// that was not.
func TestRejectionEndsAndGrows(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	f.failed("r0", "e1", 7)
	f.failed("r0", "e2", 7)
	is.True(f.rejectedEverywhere(7))
	f.advance(firstRejection + time.Second)
	is.True(f.freeEverywhere(7))
	f.failed("r1", "e3", 7)
	f.advance(firstRejection + time.Second)
	is.True(f.rejectedEverywhere(7)) // twice as long as before
	f.advance(firstRejection)
	f.step("r2", RunEnded{Fingerprint: 7, Finished: true})
	is.True(f.freeEverywhere(7))
	f.failed("r0", "e4", 7)
	is.True(f.freeEverywhere(7)) // its earlier failures no longer count
}

// TestRejectionReachesRoutersThatWereCutOff guards against a router that takes a
// rejected request since it was cut off, or down, as the endpoints failed.
func TestRejectionReachesRoutersThatWereCutOff(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	f.lose = func(_, to view.RouterID) bool { return to == "r3" }
	f.failed("r0", "e1", 7)
	f.failed("r0", "e2", 7)
	f.advance(testConfirmTimeout)
	is.Equal(f.check("r3", 7), VerdictFree)
	f.lose = loseNothing
	for range 4 {
		f.advance(firstResendDelay)
	}
	is.Equal(f.check("r3", 7), VerdictRejected)
	f.tables["r2"] = New(Options{Self: "r2", ConfirmTimeout: testConfirmTimeout})
	f.ids = []view.RouterID{"r0", "r1", "r3"}
	f.updateView()
	f.ids = append(f.ids, "r2")
	f.updateView()
	is.Equal(f.check("r2", 7), VerdictRejected) // it started again empty
}

// TestCrashCostsFewMessages guards against evidence that is sent again and again
// for requests which only ran beside a crash.
func TestCrashCostsFewMessages(t *testing.T) {
	is := is.New(t)
	const routers, requests = 70, 10
	f := newOpenFleet(routers)
	before := f.sent
	for n := range requests {
		f.failed(f.ids[n], "e1", Fingerprint(n+1))
	}
	for range 60 {
		f.advance(time.Second)
	}
	is.Equal(f.sent-before, 2*requests*(routers-1)) // once to each router, and its confirmation
}

// TestCrashingRequestStopsWithoutIsolation checks that a request which crashes
// every endpoint that runs it crashes at most three, while others that met it
// there are resumed beside it.
func TestCrashingRequestStopsWithoutIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const crashing = Fingerprint(7)
		f := newOpenFleet(rapid.IntRange(2, 7).Draw(t, "routers"))
		endpoints := rapid.IntRange(2, 9).Draw(t, "endpoints")
		router := func() view.RouterID { return rapid.SampledFrom(f.ids).Draw(t, "router") }
		beside := map[Fingerprint]bool{}
		crashed := 0
		for send := range rapid.IntRange(1, 10).Draw(t, "sends") {
			at := router()
			if f.check(at, crashing) != VerdictRejected {
				e := endpoint(send)
				f.failed(at, e, crashing)
				crashed++
				for fp := range beside {
					// It was resumed at one of the endpoints.
					if rapid.IntRange(1, endpoints).Draw(t, "resumed") == 1 {
						f.failed(router(), e, fp)
					} else {
						f.step(router(), RunEnded{Fingerprint: fp, Finished: true})
						delete(beside, fp)
					}
				}
				for n := range rapid.IntRange(0, 4).Draw(t, "new") {
					fp := Fingerprint(100 + 10*send + n)
					beside[fp] = true
					f.failed(router(), e, fp)
				}
			}
			f.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond)
		}
		if crashed > certainThreshold {
			t.Fatalf("the request crashed %d endpoints", crashed)
		}
	})
}

// TestCrashingRequestStopsAfterTwoWithoutIsolation checks that a request which crashes
// every endpoint after about the same time crashes two, whatever else ran there, and
// that requests that had run there for other times are not rejected beside it.
func TestCrashingRequestStopsAfterTwoWithoutIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const crashing = Fingerprint(7)
		f := newOpenFleet(rapid.IntRange(2, 7).Draw(t, "routers"))
		millis := func(from, to int, what string) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, what)) * time.Millisecond
		}
		router := func() view.RouterID { return rapid.SampledFrom(f.ids).Draw(t, "router") }
		lasted := map[Fingerprint]time.Duration{}
		crashed := 0
		for send := range rapid.IntRange(1, 6).Draw(t, "sends") {
			at := router()
			if f.check(at, crashing) != VerdictRejected {
				e := endpoint(send)
				f.failedAfter(millis(30, 80, "crash"), at, e, crashing)
				crashed++
				for n := range 4 {
					fp := Fingerprint(100 + n)
					d := millis(1, 999, "run")
					f.failedAfter(d, router(), e, fp)
					if before, ok := lasted[fp]; ok && (before-d).Abs() > alikeTolerance && f.check(router(), fp) != VerdictFree {
						t.Fatalf("a request that failed after %v and %v is rejected", before, d)
					}
					lasted[fp] = d
				}
			}
			f.advance(millis(1, 2000, "pause"))
		}
		if crashed > rejectThreshold {
			t.Fatalf("the request crashed %d endpoints", crashed)
		}
	})
}

// TestFullTableKeepsRejections guards against a request that crashes endpoints
// again because many others that failed once have filled the table.
func TestFullTableKeepsRejections(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(1)
	f.failed("r0", "e1", 7)
	f.failed("r0", "e2", 7)
	for n := range maxRecords + 10 {
		f.advance(time.Millisecond)
		f.failed("r0", "e3", Fingerprint(100+n))
	}
	is.True(f.tables["r0"].Len() <= maxRecords)
	is.True(f.rejectedEverywhere(7))
}

// TestClearedRecordsExpireSoon guards against a table that fills with requests
// which only ran beside crashes, and so gets slow.
func TestClearedRecordsExpireSoon(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(2)
	f.failed("r0", "e1", 7, 8)
	f.step("r1", RunEnded{Fingerprint: 7, Finished: true})
	f.advance(clearedLifetime / 2)
	f.failed("r1", "e1", 7) // a late report of the same crash
	is.True(f.freeEverywhere(7))
	f.advance(clearedLifetime)
	for _, id := range f.ids {
		is.Equal(f.tables[id].Len(), 1)
	}
}

// TestLateCrashesRejectAfterTheThird guards against a stream that crashes each
// endpoint after it has run for long, and against messages about the streams that
// only ran there.
func TestLateCrashesRejectAfterTheThird(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(3)
	before := f.sent
	for _, e := range []view.EndpointID{"e1", "e1", "e2"} {
		f.step("r0", LateFailure{7, e})
		f.step("r0", LateFailure{8, e})
	}
	is.True(f.freeEverywhere(7))
	is.Equal(f.sent, before)
	f.step("r0", RunEnded{Fingerprint: 8, Finished: true}) // 8 finishes elsewhere
	f.step("r0", LateFailure{7, "e3"})
	f.step("r0", LateFailure{8, "e3"})
	is.True(f.rejectedEverywhere(7))
	is.True(f.freeEverywhere(8))
	f.step("r0", RunEnded{Fingerprint: 8, Finished: true})
	f.advance(evidenceLifetime)
	is.True(f.tables["r0"].Empty())
}
