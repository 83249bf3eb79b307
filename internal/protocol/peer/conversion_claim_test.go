package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
)

// TestClaimMessagesRoundTrip checks that the wire form keeps every field of a
// claim request and of a verdict.
func TestClaimMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_700_000_000_123)
	request := coordination.Request{
		Claim: claim.Claim{
			ID: claim.ID{1}, Key: claim.DigestOf("o", "k"), BodyHash: 5, KeyTime: at,
			Holder: claim.Holder{Router: "a", Incarnation: 3},
		},
		Release: true, Deadline: at,
	}
	got, err := ToClaimAsk("a", FromClaimAsk(&request))
	is.NoErr(err)
	is.Equal(got, request)
	for _, s := range []claim.Result{
		{Claim: claim.ID{1}, Verdict: claim.VerdictHeld, Winner: claim.ID{2}, Holder: claim.Holder{Router: "b", Incarnation: 4}, Until: at},
		{Claim: claim.ID{1}, Verdict: claim.VerdictReleased},
	} {
		v, err := ToClaimVerdict(FromClaimVerdict(&coordination.Verdict{Result: s}))
		is.NoErr(err)
		is.Equal(v.Result, s)
	}
}

// TestMalformedClaimMessagesAreRejected checks that identifiers of a wrong
// length, an absent message and an unknown verdict are errors.
func TestMalformedClaimMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	_, err := ToClaimAsk("a", &ClaimAsk{Key: []byte{1}, Claim: make([]byte, 16)})
	is.True(err != nil)
	_, err = ToClaimAsk("a", nil)
	is.True(err != nil)
	_, err = ToClaimVerdict(&ClaimVerdict{Claim: make([]byte, 16), Verdict: 200})
	is.True(err != nil)
}
