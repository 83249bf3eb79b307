package logline

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// pausableWriter records what is written to it, and blocks while paused is
// locked.
type pausableWriter struct {
	mu     sync.Mutex
	paused sync.Mutex
	bytes  bytes.Buffer // guarded by mu
}

func (w *pausableWriter) Write(p []byte) (int, error) {
	w.paused.Lock()
	defer w.paused.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes.Write(p)
}

// TestConcurrentWritesAreCompleteAndInOrder checks that no line is lost while the
// output accepts data, and that the lines of each writer keep their order.
func TestConcurrentWritesAreCompleteAndInOrder(t *testing.T) {
	is := is.New(t)
	const writers, lines = 8, 4000 // at most 224,000 bytes, less than maxBytes
	var out pausableWriter
	w := NewWriter(&out)
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			for n := range lines {
				_, err := fmt.Fprintf(w, "%d %d\n", i, n)
				is.NoErr(err)
			}
		})
	}
	group.Wait()
	is.NoErr(w.Close())
	next := make([]int, writers)
	for line := range strings.Lines(out.bytes.String()) {
		var i, n int
		_, err := fmt.Sscanf(line, "%d %d", &i, &n)
		is.NoErr(err)
		is.Equal(n, next[i])
		next[i]++
	}
	for i := range writers {
		is.Equal(next[i], lines)
	}
}

// TestWriteDoesNotBlockOnOutput writes more than the buffer holds while the output
// blocks. Write must return nevertheless, and every line must be either written
// or counted as dropped.
func TestWriteDoesNotBlockOnOutput(t *testing.T) {
	is := is.New(t)
	var out pausableWriter
	out.paused.Lock()
	w := NewWriter(&out)
	const lines = 3 * maxBytes / 64
	for i := range lines {
		_, err := fmt.Fprintf(w, "%063d\n", i) // returns although the output blocks
		is.NoErr(err)
	}
	is.True(w.Dropped() > 0)
	out.paused.Unlock()
	is.NoErr(w.Close())
	// Every line is written completely and in order, or counted as dropped.
	written, dropped, next := 0, 0, -1
	for line := range strings.Lines(out.bytes.String()) {
		var n int
		if _, counted, found := strings.Cut(line, "Count="); found {
			_, err := fmt.Sscan(counted, &n)
			is.NoErr(err)
			dropped += n
			continue
		}
		_, err := fmt.Sscanf(line, "%d", &n)
		is.NoErr(err)
		is.Equal(len(line), 64)
		is.True(n > next)
		written, next = written+1, n
	}
	is.Equal(written+dropped, lines)
	_, err := io.WriteString(w, "late\n")
	is.True(err != nil)
}

// TestCloseTimesOutOnBlockedOutput guards against a process that cannot exit
// because the reader of its log does not read.
func TestCloseTimesOutOnBlockedOutput(t *testing.T) {
	is := is.New(t)
	var out pausableWriter
	out.paused.Lock()
	defer out.paused.Unlock()
	w := NewWriter(&out)
	_, err := io.WriteString(w, "line\n")
	is.NoErr(err)
	is.True(w.Close() != nil)
}
