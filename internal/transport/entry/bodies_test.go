package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
)

// pausedBody is a body of which only the beginning arrives until it is resumed.
type pausedBody struct {
	begin, rest io.Reader
	arrived     func()
	resumed     <-chan struct{}
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if n, err := b.begin.Read(p); err == nil {
		return n, nil
	}
	if b.arrived != nil {
		b.arrived()
		b.arrived = nil
	}
	<-b.resumed
	return b.rest.Read(p)
}

type bodyResult struct {
	body    []byte
	release func()
	problem *caller.Problem
}

func readTestBody(b *BodyLimiter, body io.Reader, length, limit int64) bodyResult {
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	got, release, problem := b.Read(httptest.NewRecorder(), r, limit, time.Now().Add(time.Minute))
	return bodyResult{got, release, problem}
}

// TestSlowBodiesReserveWhatHasArrived guards against a few callers whose bodies arrive
// slowly, and that reserve the memory for the largest bodies, so that all others are refused.
// Bodies that go on together still get no more than the memory, and the others a refusal.
func TestSlowBodiesReserveWhatHasArrived(t *testing.T) {
	const total, limit, slow = 1 << 20, 256 << 10, 20
	for _, length := range []int64{-1, limit} {
		is := is.New(t)
		b := NewBodyLimiter(total)
		resumed := make(chan struct{})
		results := make([]bodyResult, slow)
		var arrived, done sync.WaitGroup
		want := bytes.Repeat([]byte("x"), limit)
		for i := range results {
			arrived.Add(1)
			done.Go(func() {
				var once sync.Once
				body := &pausedBody{bytes.NewReader(want[:1000]), bytes.NewReader(want[1000:]), func() { once.Do(arrived.Done) }, resumed}
				results[i] = readTestBody(b, body, length, limit)
				once.Do(arrived.Done) // a refusal before
			})
		}
		arrived.Wait()
		other := readTestBody(b, bytes.NewReader(want[:100<<10]), 100<<10, limit)
		if other.problem != nil {
			t.Errorf("another body: status %d, %s", other.problem.Status, other.problem.Detail)
		} else {
			is.Equal(len(other.body), 100<<10)
			other.release()
		}
		close(resumed)
		done.Wait()
		served := 0
		for _, r := range results {
			if r.problem == nil {
				served++
				is.True(bytes.Equal(r.body, want))
				continue
			}
			is.Equal(r.problem.Status, http.StatusServiceUnavailable)
			is.Equal(r.problem.NotRun, caller.NotRunTrue)
			is.True(!r.problem.RetryAt.IsZero())
		}
		is.True(served <= total/limit)
		is.True(!b.memory.TryAcquire(int64(total - served*limit + 1))) // complete bodies hold their length
		for _, r := range results {
			if r.problem == nil {
				r.release()
			}
		}
		is.True(b.memory.TryAcquire(total)) // all has been returned
	}
}

// TestBodiesAreReadWhole checks bodies at the sizes at which the buffer grows or is full.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 3 * firstBodyBytes
	for _, size := range []int64{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 2 * firstBodyBytes, limit - 1, limit, limit + 1} {
		want := bytes.Repeat([]byte("y"), int(size))
		for _, known := range []bool{true, false} {
			for _, reader := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want)), iotest.OneByteReader(bytes.NewReader(want))} {
				is := is.New(t)
				b, length := NewBodyLimiter(limit), size
				if !known {
					length = -1
				}
				r := readTestBody(b, reader, length, limit)
				if size > limit {
					is.Equal(r.problem.Status, http.StatusRequestEntityTooLarge)
				} else {
					is.True(r.problem == nil)
					is.True(bytes.Equal(r.body, want))
					is.True(!b.memory.TryAcquire(limit - size + 1))
					r.release()
				}
				is.True(b.memory.TryAcquire(limit))
			}
		}
	}
	is := is.New(t)
	is.Equal(readTestBody(NewBodyLimiter(limit), bytes.NewReader(make([]byte, 5)), 6, limit).problem.Status, http.StatusBadRequest)
}
