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
// same verdict; the flag on the command line goes before it.
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

// script applies entries one record each, a second apart.
type script struct {
	f  *Fold
	at time.Time
}

func (s *script) apply(is *is.I, entries ...Entry) []Standing {
	is.Helper()
	s.at = s.at.Add(time.Second)
	standings, err := s.f.Apply(Record{Offset: s.f.Next(), Appended: s.at, Batch: Batch{FormatVersion: 1, Entries: entries}})
	is.NoErr(err)
	return standings
}

func claims(c Claim) Entry   { return Entry{Kind: KindClaim, Claim: c} }
func releases(c Claim) Entry { return Entry{Kind: KindRelease, Claim: c} }

func TestFirstClaimWinsAndStaysTheWinner(t *testing.T) {
	is := is.New(t)
	s := &script{NewFold(0), epoch}
	a, b, other := claimOf(1, "k", 7), claimOf(2, "k", 7), claimOf(3, "k", 8)
	got := s.apply(is, claims(a), claims(b), claims(other), claims(a))
	is.Equal([]Verdict{got[0].Verdict, got[1].Verdict, got[2].Verdict, got[3].Verdict},
		[]Verdict{VerdictWon, VerdictHeld, VerdictMismatch, VerdictWon})
	is.Equal(got[1].Holder, a.Holder)
	is.Equal(got[1].Winner, a.ID)
}

func TestReleaseFreesTheKeyAlthoughTheClaimLandsAgain(t *testing.T) {
	is := is.New(t)
	s := &script{NewFold(0), epoch}
	a, b, c := claimOf(1, "k", 7), claimOf(2, "k", 7), claimOf(3, "k", 7)
	s.apply(is, claims(a))
	is.Equal(s.apply(is, claims(b))[0].Verdict, VerdictHeld)
	s.apply(is, releases(claimOf(4, "k", 7))) // it holds nothing and frees nothing
	is.Equal(s.f.Standing(&a).Verdict, VerdictWon)
	s.apply(is, releases(a))
	is.Equal(s.apply(is, claims(a))[0].Verdict, VerdictReleased) // a late append
	is.Equal(s.apply(is, claims(b))[0].Verdict, VerdictReleased) // it has lost for good
	is.Equal(s.apply(is, claims(c))[0].Verdict, VerdictWon)
	is.Equal(s.apply(is, releases(a), claims(a))[1].Verdict, VerdictHeld)
	is.Equal(s.f.Standing(&c).Verdict, VerdictWon)
}

func TestReleaseBeforeItsClaimVoidsIt(t *testing.T) {
	is := is.New(t)
	s := &script{NewFold(0), epoch}
	a, b := claimOf(1, "k", 7), claimOf(2, "k", 7)
	s.apply(is, releases(a))
	is.Equal(s.apply(is, claims(a))[0].Verdict, VerdictReleased)
	is.Equal(s.apply(is, claims(b))[0].Verdict, VerdictWon)
}

func TestKeysAge(t *testing.T) {
	is := is.New(t)
	s := &script{NewFold(0), epoch}
	opaque, again := claimOf(1, "k", 7), claimOf(2, "k", 7)
	dated, late := claimOf(3, "d", 7), claimOf(4, "d", 7)
	dated.KeyTime, late.KeyTime = epoch, epoch
	future := claimOf(5, "f", 7)
	future.KeyTime = epoch.Add(Skew + time.Minute)
	got := s.apply(is, claims(opaque), claims(dated), claims(future))
	is.Equal([]Verdict{got[0].Verdict, got[1].Verdict, got[2].Verdict}, []Verdict{VerdictWon, VerdictWon, VerdictExpired})
	s.at = epoch.Add(KeyLife - time.Second)
	is.Equal(s.apply(is, claims(again))[0].Verdict, VerdictHeld)
	s.at = s.at.Add(2 * time.Minute)
	got = s.apply(is, claims(claimOf(6, "k", 7)), claims(late))
	is.Equal(got[0].Verdict, VerdictWon)     // an opaque key lives anew
	is.Equal(got[1].Verdict, VerdictExpired) // a dated key never does
	is.Equal(len(s.f.claims), 1)
}

func TestHoleAndUnknownVersionAreNotFolded(t *testing.T) {
	is := is.New(t)
	f := NewFold(5)
	_, err := f.Apply(Record{Offset: 6, Batch: Batch{FormatVersion: 1}})
	is.True(errors.Is(err, ErrHole))
	_, err = f.Apply(Record{Offset: 5, Batch: Batch{FormatVersion: 2}})
	is.True(errors.Is(err, ErrVersion))
	is.Equal(f.Next(), uint64(5))
}

// pass returns the records that repeat the state of a fold.
func pass(f *Fold) []Batch {
	var batches []Batch
	series := Series{From: f.Next(), Clock: f.Clock(), BarredUntil: f.BarredUntil()}
	for _, i := range f.Items() {
		batches = append(batches, Batch{FormatVersion: 1, Entries: []Entry{f.Carry(i)}, Series: &Series{From: series.From}})
	}
	series.Final = true
	return append(batches, Batch{FormatVersion: 1, Series: &series})
}

func TestReaderThatStartsLateAgreesWithOneThatSawAll(t *testing.T) {
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
				add(pending[0]) // carried entries land between others
				pending = pending[1:]
			case len(pending) == 0 && rapid.Bool().Draw(t, "begin"):
				pending = pass(full)
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
			if a, b := full.Standing(&c), late.Standing(&c); a != b {
				t.Fatalf("from 0: %+v, from %d: %+v", a, start, b)
			}
		}
	})
}

func TestPassThatBeganBeforeTheReaderLoadsNothing(t *testing.T) {
	is := is.New(t)
	s := &script{NewFold(100), epoch}
	is.Equal(len(s.apply(is, claims(claimOf(1, "k", 7)))), 0)
	_, err := s.f.Apply(Record{Offset: 101, Appended: s.at, Batch: Batch{FormatVersion: 1, Series: &Series{From: 99, Final: true}}})
	is.NoErr(err)
	is.True(!s.f.Loaded())
	c := claimOf(1, "k", 7)
	is.Equal(s.f.Standing(&c).Verdict, VerdictBusy)
}

func TestNothingWinsWhileBarred(t *testing.T) {
	is := is.New(t)
	s := &script{NewFold(100), epoch}
	_, err := s.f.Apply(Record{Offset: 100, Appended: epoch, Batch: Batch{FormatVersion: 1, Bar: true}})
	is.NoErr(err)
	is.True(s.f.Loaded())
	is.Equal(s.apply(is, claims(claimOf(1, "k", 7)))[0].Verdict, VerdictReleased)
	s.at = epoch.Add(KeyLife + Skew)
	is.Equal(s.apply(is, claims(claimOf(2, "k", 7)))[0].Verdict, VerdictWon)
}
