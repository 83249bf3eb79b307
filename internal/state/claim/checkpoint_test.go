package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A claim is appended and loses while a checkpoint is being written, and the
// winner is released before the checkpoint reaches the key. If the checkpoint
// omitted the winner, a fold that loads it would let the losing claim win.
func TestCheckpointRepeatsStateAtItsStart(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key := DigestOf("organisation", "key")
	first := Claim{ID: ID{1}, Key: key, Holder: Holder{"a", 1}}
	second := Claim{ID: ID{2}, Key: key, Holder: Holder{"b", 1}}
	record := func(offset uint64, kind Kind, c Claim) Record {
		return Record{Offset: offset, Appended: at, Batch: Batch{
			FormatVersion: FormatVersion, Entries: []Entry{{Kind: kind, Claim: c}},
		}}
	}

	whole := NewFold(0)
	_, err := whole.Apply(record(0, KindClaim, first))
	is.NoErr(err)
	items, clock := whole.Items(), whole.Clock()
	later := []Record{record(1, KindClaim, second), record(2, KindRelease, first)}
	for _, r := range later {
		_, err = whole.Apply(r)
		is.NoErr(err)
	}
	end := Record{Offset: 3, Appended: at, Batch: Batch{
		FormatVersion: FormatVersion, Checkpoint: &Checkpoint{From: 1, Final: true, Clock: clock},
	}}
	for _, i := range items {
		end.Batch.Entries = append(end.Batch.Entries, whole.CheckpointEntry(i))
	}
	loaded := NewFold(1)
	for _, r := range append(later, end) {
		_, err = loaded.Apply(r)
		is.NoErr(err)
	}
	is.True(loaded.Loaded())
	is.Equal(whole.Result(&second).Verdict, VerdictReleased)
	is.Equal(loaded.Result(&second).Verdict, VerdictReleased)
}
