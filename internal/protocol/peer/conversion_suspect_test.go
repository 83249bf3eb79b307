package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/suspect"
)

func TestSuspectMessagesSurviveTheWire(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_700_000_000_123)
	evidence := []suspect.Evidence{{Fingerprint: 1, Endpoint: "e", Cleared: true, At: at, Until: at.Add(time.Minute)}}
	for _, m := range []suspect.Message{
		suspect.EvidenceUpdate{Evidence: evidence},
		suspect.PermitRequest{Fingerprint: 1, Until: at},
		suspect.PermitReply{Fingerprint: 1, Granted: true, Evidence: evidence},
		suspect.PermitRelease{Fingerprint: 1},
	} {
		got, ok := ToSuspect(FromSuspect(m))
		is.True(ok)
		is.Equal(got, m)
	}
	_, ok := ToSuspect(&Message{})
	is.True(!ok)
}
