package claim

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/claim"
)

func sampleBatch() claim.Batch {
	at := time.UnixMilli(1_700_000_000_123)
	one := claim.Claim{ID: claim.ID{1}, Key: claim.DigestOf("o", "k"), BodyHash: 9, Holder: claim.Holder{Router: "a", Incarnation: 4}, KeyTime: at}
	two := one
	two.ID, two.KeyTime = claim.ID{2}, time.Time{}
	return claim.Batch{FormatVersion: 1, Bar: true, Checkpoint: &claim.Checkpoint{From: 7, Final: true, Clock: at, BarredUntil: at}, Entries: []claim.Entry{
		{Kind: claim.KindClaim, Claim: one},
		{Kind: claim.KindCarry, Claim: two, Until: at},
	}}
}

// TestBatchRoundTrip checks that no field of a batch is lost or changed by
// encoding and decoding.
func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	payload, err := Encode(sampleBatch())
	is.NoErr(err)
	got, err := Decode(payload)
	is.NoErr(err)
	is.Equal(got, sampleBatch())
}

// TestNewerFormatDecodesWithoutEntries decodes a record written by a newer
// program. Its version must be reported, and its entries, whose meaning may have
// changed, must not be used.
func TestNewerFormatDecodesWithoutEntries(t *testing.T) {
	is := is.New(t)
	b := sampleBatch()
	b.FormatVersion = 2
	payload, err := Encode(b)
	is.NoErr(err)
	got, err := Decode(payload)
	is.NoErr(err)
	is.Equal(got.FormatVersion, 2)
	is.Equal(len(got.Entries), 0)
}

// FuzzDecode checks that any payload is either rejected with ErrMalformed or
// decoded to a batch that can be encoded.
func FuzzDecode(f *testing.F) {
	payload, _ := Encode(sampleBatch())
	f.Add(payload)
	f.Add([]byte{})
	f.Add([]byte{8, 1, 18, 2, 40, 9})
	f.Fuzz(func(t *testing.T, payload []byte) {
		b, err := Decode(payload)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		if b.FormatVersion > claim.FormatVersion {
			return
		}
		if _, err := Encode(b); err != nil {
			t.Fatal(err)
		}
	})
}
