package answer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
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
	clock time.Time
}

func newFixture(limit int64) *fixture {
	f := &fixture{clock: time.Unix(1000, 0)}
	f.Store = NewStore(limit, func() time.Time { return f.clock })
	return f
}

// complete creates an attempt and ends it with a complete response.
func (f *fixture) complete(is *is.I, id byte, body string) *Attempt {
	is.Helper()
	a, created := f.Attach(claim.Digest{id}, 1, nil)
	is.True(created)
	f.SetClaim(a, claim.ID{id})
	a.MarkSent()
	is.NoErr(a.Begin(http.StatusOK, nil))
	_, err := a.Write([]byte(body))
	is.NoErr(err)
	is.NoErr(a.End())
	a.Detach()
	return a
}

// TestEveryReaderGetsTheCompleteResponse checks that readers that attach before
// the response begins receive all of it, in order.
func TestEveryReaderGetsTheCompleteResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Attach(claim.Digest{1}, 1, nil)
	f.SetClaim(a, claim.ID{1})
	results := make(chan string, 3)
	for range 3 {
		joined, created := f.Attach(claim.Digest{1}, 1, nil)
		is.True(!created)
		go func() {
			defer joined.Detach()
			var r recorder
			end, _, err := joined.CopyTo(context.Background(), &r)
			if end != EndComplete || err != nil || !r.ended {
				results <- "incomplete response"
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

// TestLastDetachCancelsOnlyUnsentRequests guards against cancelling a request
// that may already run, and against running one that has no readers left.
func TestLastDetachCancelsOnlyUnsentRequests(t *testing.T) {
	for _, sent := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(1 << 20)
		cancelled := false
		a, _ := f.Attach(claim.Digest{1}, 1, func() { cancelled = true })
		other, _ := f.Attach(claim.Digest{1}, 1, nil)
		if sent {
			a.MarkSent()
		}
		a.Detach()
		is.True(!cancelled)
		other.Detach()
		is.Equal(cancelled, !sent)
	}
}

// TestUnsentAttemptReleasesTheKey checks that a request that was refused before
// it was sent can be tried again under the same key.
func TestUnsentAttemptReleasesTheKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Attach(claim.Digest{1}, 1, nil)
	f.SetClaim(a, claim.ID{1})
	a.Finish(EndUnsent, errors.New("refused"))
	found, abandoned := f.Find(claim.ID{1})
	is.True(found == nil && abandoned)
	_, created := f.Attach(claim.Digest{1}, 1, nil)
	is.True(created)
}

// TestSentAttemptEndsAsUnknown guards against running a request twice: an
// attempt that was sent must not release its key, even if it is finished as
// unsent.
func TestSentAttemptEndsAsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Attach(claim.Digest{1}, 1, nil)
	f.SetClaim(a, claim.ID{1})
	a.MarkSent()
	a.Finish(EndUnsent, nil)
	end, _, _ := a.CopyTo(context.Background(), &recorder{})
	is.Equal(end, EndUnknown)
	_, created := f.Attach(claim.Digest{1}, 1, nil)
	is.True(!created)
}

// TestMarkUnsentCancelsAttemptWithoutReaders checks that MarkUnsent cancels an
// attempt whose last reader detached while it was marked as sent.
func TestMarkUnsentCancelsAttemptWithoutReaders(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	cancelled := false
	a, _ := f.Attach(claim.Digest{1}, 1, func() { cancelled = true })
	a.MarkSent()
	a.Detach()
	is.True(!cancelled)
	a.MarkUnsent()
	is.True(cancelled) // no readers are left
	a.Finish(EndUnsent, nil)
	_, created := f.Attach(claim.Digest{1}, 1, nil)
	is.True(created)
}

// TestReplacedClaimIsAbandoned checks that the claim that an attempt had before
// its present one is reported as abandoned, and an unknown claim is not.
func TestReplacedClaimIsAbandoned(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	a, _ := f.Attach(claim.Digest{1}, 1, nil)
	f.SetClaim(a, claim.ID{1})
	f.SetClaim(a, claim.ID{2})
	_, abandoned := f.Find(claim.ID{1})
	is.True(abandoned)
	found, _ := f.Find(claim.ID{2})
	is.Equal(found, a)
	found, abandoned = f.Find(claim.ID{3})
	is.True(found == nil && !abandoned)
}

// TestOldestBodiesAreEvictedFirst checks that a new response evicts the oldest
// body, but never one that is being read.
func TestOldestBodiesAreEvictedFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(100)
	first := f.complete(is, 1, strings.Repeat("a", 60))
	second := f.complete(is, 2, strings.Repeat("b", 60))
	is.Equal(f.Bytes(), int64(60))
	end, begun, _ := first.CopyTo(context.Background(), &recorder{})
	is.Equal(end, EndEvicted) // the record that the request ran remains
	is.True(!begun)
	reader, _ := f.Attach(claim.Digest{2}, 1, nil)
	is.Equal(reader, second)
	third, _ := f.Attach(claim.Digest{3}, 1, nil)
	_, err := third.Write(make([]byte, 60))
	is.True(err != nil) // a body with a reader is not evicted
	reader.Detach()
	_, err = third.Write(make([]byte, 60))
	is.NoErr(err)
}

// TestBodiesAndRecordsExpire checks that a body expires after bodyRetention, and
// the record of the attempt after the lifetime of the key.
func TestBodiesAndRecordsExpire(t *testing.T) {
	is := is.New(t)
	f := newFixture(1 << 20)
	first := f.complete(is, 1, "answer")
	f.clock = f.clock.Add(bodyRetention + time.Second)
	f.complete(is, 2, "answer")
	is.Equal(f.Bytes(), int64(6))
	found, _ := f.Find(claim.ID{1})
	is.Equal(found, first)
	f.clock = f.clock.Add(claim.KeyLifetime)
	f.complete(is, 3, "answer")
	found, _ = f.Find(claim.ID{1})
	is.True(found == nil)
}

// TestHeadersCountTowardsTheLimit guards against retained headers that take more memory than
// the bodies may, since only the bodies were counted.
func TestHeadersCountTowardsTheLimit(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	for i := range 1000 {
		header.Add(fmt.Sprint("X-", i), "")
	}
	const limit = 1 << 20
	f := newFixture(limit)
	var attempts []*Attempt
	for i := range byte(20) {
		a, _ := f.Attach(claim.Digest{i}, 1, nil)
		f.SetClaim(a, claim.ID{i})
		a.MarkSent()
		is.NoErr(a.Begin(http.StatusOK, header))
		is.NoErr(a.End())
		a.Detach()
		attempts = append(attempts, a)
	}
	retained := 0
	for _, a := range attempts {
		if end, begun, _ := a.CopyTo(t.Context(), &recorder{}); end == EndComplete {
			is.True(begun)
			retained++
		}
	}
	is.True(retained > 0)
	is.True(retained <= 6) // of a thousand fields of 200 bytes
	is.True(f.Bytes() <= limit)
	f.clock = f.clock.Add(bodyRetention + time.Second)
	f.complete(is, 100, "x")
	is.Equal(f.Bytes(), int64(1)) // all has been returned
}
