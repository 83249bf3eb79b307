package answer

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/claim"
)

type recorder struct {
	bytes.Buffer
	status int
	ended  bool
}

func (r *recorder) Begin(status int, _ http.Header) error { r.status = status; return nil }
func (r *recorder) End() error                            { r.ended = true; return nil }

type fixture struct {
	*Store
	at time.Time
}

func newFixture(limit int64) *fixture {
	f := &fixture{at: time.Unix(1000, 0)}
	f.Store = NewStore(limit, func() time.Time { return f.at })
	return f
}

// run enters a new attempt and gives it a whole answer.
func (f *fixture) run(is *is.I, id byte, body string) *Attempt {
	is.Helper()
	a, fresh := f.Enter(claim.Digest{id}, 1, nil)
	is.True(fresh)
	f.Claim(a, claim.ID{id})
	a.MarkSent()
	is.NoErr(a.Begin(http.StatusOK, nil))
	_, err := a.Write([]byte(body))
	is.NoErr(err)
	is.NoErr(a.End())
	a.Leave()
	return a
}

func TestEveryReaderGetsTheWholeAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Enter(claim.Digest{1}, 1, nil)
	f.Claim(a, claim.ID{1})
	results := make(chan string, 3)
	for range 3 {
		joined, fresh := f.Enter(claim.Digest{1}, 1, nil)
		is.True(!fresh)
		go func() {
			defer joined.Leave()
			var r recorder
			end, _, err := joined.CopyTo(context.Background(), &r)
			if end != EndWhole || err != nil || !r.ended {
				results <- "not whole"
				return
			}
			results <- r.String()
		}()
	}
	a.MarkSent()
	is.NoErr(a.Begin(http.StatusOK, nil))
	for _, part := range []string{"one ", "two ", "three"} {
		_, err := a.Write([]byte(part))
		is.NoErr(err)
	}
	is.NoErr(a.End())
	for range 3 {
		is.Equal(<-results, "one two three")
	}
}

func TestLastReaderGivesUpOnlyWhatWasNotSent(t *testing.T) {
	for _, sent := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(1 << 20)
		cancelled := false
		a, _ := f.Enter(claim.Digest{1}, 1, func() { cancelled = true })
		other, _ := f.Enter(claim.Digest{1}, 1, nil)
		if sent {
			a.MarkSent()
		}
		a.Leave()
		is.True(!cancelled)
		other.Leave()
		is.Equal(cancelled, !sent)
	}
}

func TestUnsentAttemptLeavesTheKeyToOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Enter(claim.Digest{1}, 1, nil)
	f.Claim(a, claim.ID{1})
	a.Finish(EndUnsent, errors.New("refused"))
	found, givenUp := f.Find(claim.ID{1})
	is.True(found == nil && givenUp)
	_, fresh := f.Enter(claim.Digest{1}, 1, nil)
	is.True(fresh)
}

func TestSentAttemptNeverEndsAsUnsent(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Enter(claim.Digest{1}, 1, nil)
	f.Claim(a, claim.ID{1})
	a.MarkSent()
	a.Finish(EndUnsent, nil)
	end, _, _ := a.CopyTo(context.Background(), &recorder{})
	is.Equal(end, EndUnknown)
	_, fresh := f.Enter(claim.Digest{1}, 1, nil)
	is.True(!fresh)
}

func TestAttemptThatCouldNotBeSentIsUnsent(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	cancelled := false
	a, _ := f.Enter(claim.Digest{1}, 1, func() { cancelled = true })
	a.MarkSent()
	a.Leave()
	is.True(!cancelled)
	a.MarkUnsent()
	is.True(cancelled) // nobody waits for it any more
	a.Finish(EndUnsent, nil)
	_, fresh := f.Enter(claim.Digest{1}, 1, nil)
	is.True(fresh)
}

func TestLostClaimIsKnownAsGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Enter(claim.Digest{1}, 1, nil)
	f.Claim(a, claim.ID{1})
	f.Claim(a, claim.ID{2})
	_, givenUp := f.Find(claim.ID{1})
	is.True(givenUp)
	found, _ := f.Find(claim.ID{2})
	is.Equal(found, a)
	found, givenUp = f.Find(claim.ID{3})
	is.True(found == nil && !givenUp)
}

func TestOldestAnswersMakeRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(100)
	first := f.run(is, 1, strings.Repeat("a", 60))
	second := f.run(is, 2, strings.Repeat("b", 60))
	is.Equal(f.Bytes(), int64(60))
	end, begun, _ := first.CopyTo(context.Background(), &recorder{})
	is.Equal(end, EndDropped) // it ran, and that is not forgotten
	is.True(!begun)
	reader, _ := f.Enter(claim.Digest{2}, 1, nil)
	is.Equal(reader, second)
	third, _ := f.Enter(claim.Digest{3}, 1, nil)
	_, err := third.Write(make([]byte, 60))
	is.True(err != nil) // an answer that is being read is not dropped
	reader.Leave()
	_, err = third.Write(make([]byte, 60))
	is.NoErr(err)
}

func TestAnswersAndEndsAge(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	first := f.run(is, 1, "answer")
	f.at = f.at.Add(keptLife + time.Second)
	f.run(is, 2, "answer")
	is.Equal(f.Bytes(), int64(6))
	found, _ := f.Find(claim.ID{1})
	is.Equal(found, first)
	f.at = f.at.Add(claim.KeyLife)
	f.run(is, 3, "answer")
	found, _ = f.Find(claim.ID{1})
	is.True(found == nil)
}
