package claim

import (
	"crypto/rand"
	"testing"
	"time"

	"hyssopreach/internal/state/claim"
)

// BenchmarkRecord reports the bytes that an entry takes in the log: a claim, in
// a batch of the size that a busy writer appends, and a claim that a checkpoint
// repeats ("carried").
func BenchmarkRecord(b *testing.B) {
	for _, kind := range []claim.Kind{claim.KindClaim, claim.KindCarry} {
		name, entries := "claim", 9
		if kind == claim.KindCarry {
			name, entries = "carried", 400
		}
		b.Run(name, func(b *testing.B) {
			batch := claim.Batch{FormatVersion: claim.FormatVersion}
			for i := range entries {
				var e claim.Entry
				e.Kind = kind
				_, _ = rand.Read(e.Claim.ID[:])
				_, _ = rand.Read(e.Claim.Key[:])
				e.Claim.BodyHash = uint64(i) + 1<<60
				e.Claim.Holder = claim.Holder{Router: "router-" + string(rune('a'+i%7)), Incarnation: 1 << 60}
				if kind == claim.KindCarry {
					e.Until = time.UnixMilli(1_700_000_000_000)
				}
				batch.Entries = append(batch.Entries, e)
			}
			var size int
			for range b.N {
				payload, err := Encode(batch)
				if err != nil {
					b.Fatal(err)
				}
				size = len(payload)
			}
			b.ReportMetric(float64(size)/float64(entries), "bytes/entry")
		})
	}
}
