package claim

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// claimRecords returns the records of the given number of claims, in batches
// like those of a busy writer.
func claimRecords(keys, perRecord int) []Record {
	records := make([]Record, 0, keys/perRecord+1)
	at := epoch
	for i := 0; i < keys; i += perRecord {
		at = at.Add(140 * time.Millisecond)
		b := Batch{FormatVersion: 1}
		for k := i; k < min(i+perRecord, keys); k++ {
			var c Claim
			binary.LittleEndian.PutUint64(c.ID[:], uint64(k)+1)
			binary.LittleEndian.PutUint64(c.Key[:], uint64(k)+1)
			c.Holder = Holder{Router: fmt.Sprint("router-", k%360), Incarnation: 1}
			b.Entries = append(b.Entries, Entry{Kind: KindClaim, Claim: c})
		}
		records = append(records, Record{Offset: uint64(len(records)), Appended: at, Batch: b})
	}
	return records
}

// BenchmarkApply measures folding one claim into a state with the given number
// of keys.
func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{1_000, 8_000, 64_000, 225_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			f := NewFold(0)
			for _, r := range claimRecords(keys, 9) {
				if _, err := f.Apply(r); err != nil {
					b.Fatal(err)
				}
			}
			c := claimOf(1, "k", 7)
			r := Record{Appended: f.Clock(), Batch: Batch{FormatVersion: 1, Entries: []Entry{{Kind: KindClaim, Claim: c}}}}
			release := r
			release.Batch.Entries = []Entry{{Kind: KindRelease, Claim: c}}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				binary.LittleEndian.PutUint64(r.Batch.Entries[0].Claim.ID[8:], uint64(i))
				r.Offset = f.Next()
				if _, err := f.Apply(r); err != nil {
					b.Fatal(err)
				}
				delete(f.claims, c.Key)
			}
		})
	}
}

// BenchmarkRestart compares the two ways in which a writer that starts without
// state restores the claims of the last hour: from the records themselves, and
// from a checkpoint that repeats them.
func BenchmarkRestart(b *testing.B) {
	const keys = 225_000
	records := claimRecords(keys, 9)
	full := NewFold(0)
	for _, r := range records {
		if _, err := full.Apply(r); err != nil {
			b.Fatal(err)
		}
	}
	var carried []Record
	start := full.Next()
	end := Checkpoint{From: start, Clock: full.Clock()}
	items := full.Items()
	for i := 0; i < len(items); i += 400 {
		batch := Batch{FormatVersion: 1, Checkpoint: &Checkpoint{From: start}}
		for _, item := range items[i:min(i+400, len(items))] {
			batch.Entries = append(batch.Entries, full.CheckpointEntry(item))
		}
		carried = append(carried, Record{Offset: start + uint64(len(carried)), Appended: full.Clock(), Batch: batch})
	}
	end.Final = true
	carried = append(carried, Record{Offset: start + uint64(len(carried)), Appended: full.Clock(), Batch: Batch{FormatVersion: 1, Checkpoint: &end}})
	for _, source := range []struct {
		name    string
		from    uint64
		records []Record
	}{{"records", 0, records}, {"pass", start, carried}} {
		b.Run(source.name, func(b *testing.B) {
			var before, after runtime.MemStats
			var f *Fold
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range b.N {
				f = NewFold(source.from)
				for _, r := range source.records {
					if _, err := f.Apply(r); err != nil {
						b.Fatal(err)
					}
				}
				if !f.Loaded() || len(f.claims) != keys {
					b.Fatal("the fold is not loaded or lacks keys")
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(len(source.records)), "records")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "bytes/key")
			runtime.KeepAlive(f)
		})
	}
}
