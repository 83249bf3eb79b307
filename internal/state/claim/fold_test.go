package claim

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
	is.Equal(s.f.Len(), 1)
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

func TestLateReaderNeverNamesASecondWinner(t *testing.T) {
	is := is.New(t)
	// The log has forgotten b's claim, which won; c came after and lost.
	b, c, d := claimOf(2, "k", 7), claimOf(3, "k", 7), claimOf(4, "k", 7)
	s := &script{NewFold(100), epoch}
	is.Equal(s.apply(is, claims(c))[0].Verdict, VerdictBusy)
	is.True(!s.f.Complete())
	s.at = epoch.Add(KeyLife + Skew + 2*time.Second)
	is.Equal(s.apply(is, claims(d))[0].Verdict, VerdictWon) // c has expired with b
	is.True(s.f.Complete())

	s = &script{NewFold(100), epoch}
	s.apply(is, claims(c))
	s.apply(is, Entry{Kind: KindCarry, Claim: b, Until: epoch.Add(time.Minute), Sure: true})
	_, err := s.f.Apply(Record{Offset: 102, Appended: s.at, Batch: Batch{FormatVersion: 1, Checkpoint: 100}})
	is.NoErr(err)
	is.True(s.f.Complete())
	is.Equal(s.f.Standing(&b).Verdict, VerdictWon)
	is.Equal(s.apply(is, claims(c), claims(d))[0].Verdict, VerdictHeld)
	s.apply(is, releases(b))
	is.Equal(s.f.Standing(&c).Verdict, VerdictBusy) // c keeps the key and never runs
	is.Equal(s.f.Standing(&d).Verdict, VerdictHeld)
	is.Equal(len(s.f.Carry(b.Key)), 1)
	is.Equal(s.f.Living(), []Digest{b.Key})
}

func TestCheckpointOlderThanTheReaderProvesNothing(t *testing.T) {
	is := is.New(t)
	f := NewFold(100)
	_, err := f.Apply(Record{Offset: 100, Appended: epoch, Batch: Batch{FormatVersion: 1, Checkpoint: 99}})
	is.NoErr(err)
	is.True(!f.Complete())
}
