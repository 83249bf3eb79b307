package claim

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same result; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func claimOf(id byte, key string, body uint64) Claim {
	return Claim{ID: ID{id}, Key: DigestOf("o", key), BodyHash: body, Holder: Holder{Router: string('a' + rune(id)), Incarnation: 1}}
}

// foldDriver applies records to a fold, one per second of the log's clock.
type foldDriver struct {
	f  *Fold
	at time.Time
}

func (d *foldDriver) apply(is *is.I, entries ...Entry) []Result {
	is.Helper()
	d.at = d.at.Add(time.Second)
	results, err := d.f.Apply(Record{Offset: d.f.Next(), Appended: d.at, Batch: Batch{FormatVersion: 1, Entries: entries}})
	is.NoErr(err)
	return results
}

func claimEntry(c Claim) Entry   { return Entry{Kind: KindClaim, Claim: c} }
func releaseEntry(c Claim) Entry { return Entry{Kind: KindRelease, Claim: c} }

// Several routers claim the same key. If a later claim could win, or the first
// one lost its verdict when appended again, the request would run twice or not
// at all.
func TestFirstClaimWins(t *testing.T) {
	is := is.New(t)
	d := &foldDriver{NewFold(0), epoch}
	a, b, other := claimOf(1, "k", 7), claimOf(2, "k", 7), claimOf(3, "k", 8)
	got := d.apply(is, claimEntry(a), claimEntry(b), claimEntry(other), claimEntry(a))
	is.Equal([]Verdict{got[0].Verdict, got[1].Verdict, got[2].Verdict, got[3].Verdict},
		[]Verdict{VerdictWon, VerdictHeld, VerdictMismatch, VerdictWon})
	is.Equal(got[1].Holder, a.Holder)
	is.Equal(got[1].Winner, a.ID)
}

// An append whose answer was lost may reach the log after the claim's release.
// The late append must not take the key again, and neither must a claim that
// has lost: the verdicts on both have been reported already.
func TestVoidClaimNeverTakesKey(t *testing.T) {
	is := is.New(t)
	d := &foldDriver{NewFold(0), epoch}
	a, b, c := claimOf(1, "k", 7), claimOf(2, "k", 7), claimOf(3, "k", 7)
	d.apply(is, claimEntry(a))
	is.Equal(d.apply(is, claimEntry(b))[0].Verdict, VerdictHeld)
	d.apply(is, releaseEntry(claimOf(4, "k", 7))) // it does not hold the key, so it must not free it
	is.Equal(d.f.Result(&a).Verdict, VerdictWon)
	d.apply(is, releaseEntry(a))
	is.Equal(d.apply(is, claimEntry(a))[0].Verdict, VerdictReleased) // a late append
	is.Equal(d.apply(is, claimEntry(b))[0].Verdict, VerdictReleased) // a claim that has lost stays void
	is.Equal(d.apply(is, claimEntry(c))[0].Verdict, VerdictWon)
	is.Equal(d.apply(is, releaseEntry(a), claimEntry(a))[1].Verdict, VerdictHeld)
	is.Equal(d.f.Result(&c).Verdict, VerdictWon)
}

// The appends of a claim and of its release may reach the log in reverse order.
// The claim must not win then, or its key would be held without a claimant.
func TestReleaseBeforeClaimVoidsClaim(t *testing.T) {
	is := is.New(t)
	d := &foldDriver{NewFold(0), epoch}
	a, b := claimOf(1, "k", 7), claimOf(2, "k", 7)
	d.apply(is, releaseEntry(a))
	is.Equal(d.apply(is, claimEntry(a))[0].Verdict, VerdictReleased)
	is.Equal(d.apply(is, claimEntry(b))[0].Verdict, VerdictWon)
}

// Keys expire after KeyLifetime. A key without a timestamp can then be claimed
// again. A key with an expired timestamp cannot, so that a late resend does not
// run again, and neither can one whose timestamp is too far in the future.
func TestKeysExpire(t *testing.T) {
	is := is.New(t)
	d := &foldDriver{NewFold(0), epoch}
	opaque, again := claimOf(1, "k", 7), claimOf(2, "k", 7)
	timestamped, late := claimOf(3, "d", 7), claimOf(4, "d", 7)
	timestamped.KeyTime, late.KeyTime = epoch, epoch
	future := claimOf(5, "f", 7)
	future.KeyTime = epoch.Add(MaxClockSkew + time.Minute)
	got := d.apply(is, claimEntry(opaque), claimEntry(timestamped), claimEntry(future))
	is.Equal([]Verdict{got[0].Verdict, got[1].Verdict, got[2].Verdict}, []Verdict{VerdictWon, VerdictWon, VerdictExpired})
	d.at = epoch.Add(KeyLifetime - time.Second)
	is.Equal(d.apply(is, claimEntry(again))[0].Verdict, VerdictHeld)
	d.at = d.at.Add(2 * time.Minute)
	got = d.apply(is, claimEntry(claimOf(6, "k", 7)), claimEntry(late))
	is.Equal(got[0].Verdict, VerdictWon)     // a key without a timestamp starts a new lifetime
	is.Equal(got[1].Verdict, VerdictExpired) // a key with a timestamp does not
	is.Equal(len(d.f.claims), 1)
}

// A fold that skipped a record, or a record that it does not understand, could
// declare a key free that another claim holds.
func TestGapAndUnknownVersionAreRefused(t *testing.T) {
	is := is.New(t)
	f := NewFold(5)
	_, err := f.Apply(Record{Offset: 6, Batch: Batch{FormatVersion: 1}})
	is.True(errors.Is(err, ErrGap))
	_, err = f.Apply(Record{Offset: 5, Batch: Batch{FormatVersion: 2}})
	is.True(errors.Is(err, ErrUnsupportedVersion))
	is.Equal(f.Next(), uint64(5))
}

// checkpoint returns the batches of a checkpoint of the fold's state.
func checkpoint(f *Fold) []Batch {
	var batches []Batch
	end := Checkpoint{From: f.Next(), Clock: f.Clock(), BarredUntil: f.BarredUntil()}
	for _, i := range f.Items() {
		batches = append(batches, Batch{FormatVersion: 1, Entries: []Entry{f.CheckpointEntry(i)}, Checkpoint: &Checkpoint{From: end.From}})
	}
	end.Final = true
	return append(batches, Batch{FormatVersion: 1, Checkpoint: &end})
}

// A writer that starts late loads its state from a checkpoint, between whose
// records claims and releases are appended. It must reach the same verdicts as
// a reader of the whole log; otherwise two writers could let one key win twice.
func TestLateReaderAgreesWithReaderOfWholeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, at := NewFold(0), epoch
		var log []Record
		add := func(b Batch) {
			at = at.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "minutes")) * time.Minute)
			log = append(log, Record{Offset: full.Next(), Appended: at, Batch: b})
			if _, err := full.Apply(log[len(log)-1]); err != nil {
				t.Fatal(err)
			}
		}
		entry := rapid.Custom(func(t *rapid.T) Entry {
			id := rapid.IntRange(1, 6).Draw(t, "id")
			return Entry{
				Kind:  rapid.SampledFrom([]Kind{KindClaim, KindRelease}).Draw(t, "kind"),
				Claim: claimOf(byte(id), []string{"k", "l"}[id%2], 7),
			}
		})
		var pending []Batch
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			switch {
			case len(pending) > 0 && rapid.Bool().Draw(t, "repeat"):
				add(pending[0]) // records of the checkpoint are interleaved with others
				pending = pending[1:]
			case len(pending) == 0 && rapid.Bool().Draw(t, "begin"):
				pending = checkpoint(full)
			default:
				add(Batch{FormatVersion: 1, Entries: []Entry{entry.Draw(t, "entry")}})
			}
		}
		start := rapid.IntRange(0, len(log)).Draw(t, "start")
		late := NewFold(uint64(start))
		for _, r := range log[start:] {
			if _, err := late.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if !late.Loaded() {
			return
		}
		for id := byte(1); id <= 6; id++ {
			c := claimOf(id, []string{"k", "l"}[id%2], 7)
			if a, b := full.Result(&c), late.Result(&c); a != b {
				t.Fatalf("reader from offset 0: %+v, reader from offset %d: %+v", a, start, b)
			}
		}
	})
}

// A reader may see only the last records of a checkpoint that started before
// the reader did. Loading such a checkpoint would omit the entries in the
// records that the reader has not seen.
func TestCheckpointThatStartedBeforeReaderIsIgnored(t *testing.T) {
	is := is.New(t)
	d := &foldDriver{NewFold(100), epoch}
	is.Equal(len(d.apply(is, claimEntry(claimOf(1, "k", 7)))), 0)
	_, err := d.f.Apply(Record{Offset: 101, Appended: d.at, Batch: Batch{FormatVersion: 1, Checkpoint: &Checkpoint{From: 99, Final: true}}})
	is.NoErr(err)
	is.True(!d.f.Loaded())
	c := claimOf(1, "k", 7)
	is.Equal(d.f.Result(&c).Verdict, VerdictBusy)
}

// After the log has discarded claims that no checkpoint repeats, an unknown
// claim may still hold any key. While the bar is in effect no claim may win.
func TestNoClaimWinsWhileBarred(t *testing.T) {
	is := is.New(t)
	d := &foldDriver{NewFold(100), epoch}
	_, err := d.f.Apply(Record{Offset: 100, Appended: epoch, Batch: Batch{FormatVersion: 1, Bar: true}})
	is.NoErr(err)
	is.True(d.f.Loaded())
	is.Equal(d.apply(is, claimEntry(claimOf(1, "k", 7)))[0].Verdict, VerdictReleased)
	d.at = epoch.Add(KeyLifetime + MaxClockSkew)
	is.Equal(d.apply(is, claimEntry(claimOf(2, "k", 7)))[0].Verdict, VerdictWon)
}
