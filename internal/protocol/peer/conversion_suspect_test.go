package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/suspect"
)

// TestSuspectMessagesRoundTrip checks that the wire form keeps the fields of
// messages about suspects, and that other messages are not converted.
func TestSuspectMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_700_000_000_123)
	evidence := []suspect.Evidence{{Fingerprint: 1, Endpoint: "e", Cleared: true, At: at, Until: at.Add(time.Minute), BeganAt: at.Add(-time.Second)}}
	for _, m := range []suspect.Message{
		suspect.EvidenceUpdate{Evidence: evidence},
		suspect.PermitRequest{Fingerprint: 1, Until: at},
		suspect.PermitReply{Fingerprint: 1, Granted: true, Evidence: evidence},
		suspect.PermitRelease{Fingerprint: 1},
	} {
		got, ok := ToSuspectMessage(FromSuspectMessage(m))
		is.True(ok)
		is.Equal(got, m)
	}
	_, ok := ToSuspectMessage(&Message{})
	is.True(!ok)
}
