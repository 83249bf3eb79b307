package claim

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClaimant() *Claimant {
	c := NewClaimant(rand.New(rand.NewPCG(1, 1)))
	c.Step(epoch, ViewChange{&view.Snapshot{Routers: []view.Router{{ID: "a"}, {ID: "b"}, {ID: "c"}}}})
	return c
}

func beginOf(id byte, first bool) Begin {
	return Begin{Claim: claim.Claim{ID: claim.ID{id}, Key: claim.DigestOf("o", "k")}, Deadline: epoch.Add(3 * time.Second), First: first}
}

func verdict(id byte, v claim.Verdict) VerdictReceived {
	return VerdictReceived{Verdict{claim.Result{Claim: claim.ID{id}, Verdict: v, Winner: claim.ID{9}, Holder: claim.Holder{Router: "b", Incarnation: 2}}}}
}

// outputsOf returns the outputs of type T.
func outputsOf[T Output](outputs []Output) []T {
	var matching []T
	for _, o := range outputs {
		if o, ok := o.(T); ok {
			matching = append(matching, o)
		}
	}
	return matching
}

func TestRepeatedVerdictRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newClaimant()
	is.Equal(len(outputsOf[SendRequest](c.Step(epoch, beginOf(1, false)))), 1)
	is.Equal(len(outputsOf[Run](c.Step(epoch, verdict(2, claim.VerdictWon)))), 0) // verdict on a claim of another request
	is.Equal(len(outputsOf[Run](c.Step(epoch, verdict(1, claim.VerdictWon)))), 1)
	is.Equal(len(outputsOf[Run](c.Step(epoch, verdict(1, claim.VerdictWon)))), 0)
	c.Step(epoch, Sent{claim.ID{1}})
	is.Equal(len(c.Step(epoch, verdict(1, claim.VerdictWon))), 0)
	is.Equal(c.Len(), 0)
}

func TestVerdictAfterDeadlineReleasesClaim(t *testing.T) {
	is := is.New(t)
	c := newClaimant()
	c.Step(epoch, beginOf(1, false))
	outputs := c.Step(epoch.Add(3*time.Second), verdict(1, claim.VerdictWon))
	is.Equal(len(outputsOf[Run](outputs)), 0)
	is.Equal(outputsOf[Refuse](outputs), []Refuse{{claim.ID{1}, RefusalDeadline, OutcomeNotRun}})
	is.True(outputsOf[SendRequest](outputs)[0].Request.Release)
	is.Equal(len(outputsOf[Run](c.Step(epoch, verdict(1, claim.VerdictWon)))), 0) // no run after the release
	c.Step(epoch, verdict(1, claim.VerdictReleased))
	is.Equal(c.Len(), 0)
}

func TestDeadlineWithoutVerdictProvesNotRunOnlyForFirstSend(t *testing.T) {
	for first, want := range map[bool]Outcome{true: OutcomeNotRun, false: OutcomeUnknown} {
		is := is.New(t)
		c := newClaimant()
		c.Step(epoch, beginOf(1, first))
		out := c.Step(epoch.Add(3*time.Second), ClaimantAlarm{})
		is.Equal(outputsOf[Refuse](out), []Refuse{{claim.ID{1}, RefusalDeadline, want}})
		is.True(outputsOf[SendRequest](out)[0].Request.Release) // the claim may still be appended later
	}
}

func TestUnansweredRequestMovesToNextWriterWithSameClaim(t *testing.T) {
	is := is.New(t)
	c := newClaimant()
	requests := outputsOf[SendRequest](c.Step(epoch, beginOf(1, false)))
	for at := epoch; len(requests) < 5; {
		at = at.Add(requestInterval)
		requests = append(requests, outputsOf[SendRequest](c.Step(at, ClaimantAlarm{}))...)
	}
	is.Equal(requests[0].To, requests[1].To)
	is.True(requests[2].To != requests[1].To)
	is.True(requests[4].To != requests[2].To && requests[4].To != requests[0].To)
	for _, a := range requests {
		is.Equal(a.Request.Claim.ID, claim.ID{1})
	}
}

func TestVerdictsThatForbidRun(t *testing.T) {
	is := is.New(t)
	c := newClaimant()
	c.Step(epoch, beginOf(1, false))
	is.Equal(outputsOf[Join](c.Step(epoch, verdict(1, claim.VerdictHeld))), []Join{{claim.ID{1}, claim.ID{9}, claim.Holder{Router: "b", Incarnation: 2}}})
	for v, want := range map[claim.Verdict]Refuse{
		claim.VerdictMismatch: {claim.ID{2}, RefusalMismatch, OutcomeNotRun},
		claim.VerdictExpired:  {claim.ID{2}, RefusalExpired, OutcomeUnknown},
		claim.VerdictReleased: {claim.ID{2}, RefusalLost, OutcomeUnknown},
	} {
		c.Step(epoch, beginOf(2, false))
		is.Equal(outputsOf[Refuse](c.Step(epoch, verdict(2, v))), []Refuse{want})
	}
	c.Step(epoch, beginOf(3, false))
	is.Equal(len(outputsOf[SendRequest](c.Step(epoch, verdict(3, claim.VerdictBusy)))), 0)
	is.Equal(len(outputsOf[SendRequest](c.Step(epoch.Add(2*busyRetryDelay), ClaimantAlarm{}))), 1)
}

func TestUnsentClaimIsReleasedUntilConfirmed(t *testing.T) {
	is := is.New(t)
	c := newClaimant()
	c.Step(epoch, beginOf(1, true))
	c.Step(epoch, verdict(1, claim.VerdictWon))
	is.True(outputsOf[SendRequest](c.Step(epoch, Unsent{claim.ID{1}}))[0].Request.Release)
	is.True(outputsOf[SendRequest](c.Step(epoch.Add(requestInterval), ClaimantAlarm{}))[0].Request.Release)
	c.Step(epoch, verdict(1, claim.VerdictReleased))
	is.Equal(c.Len(), 0)
	is.True(outputsOf[SendRequest](c.Step(epoch, ReleaseOrphan{claim.Claim{ID: claim.ID{1}}}))[0].Request.Release)
}
