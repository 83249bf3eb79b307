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

// gate is a writer that counts and can be held.
type gate struct {
	mu    sync.Mutex
	held  sync.Mutex
	bytes bytes.Buffer // guarded by mu
}

func (g *gate) Write(p []byte) (int, error) {
	g.held.Lock()
	defer g.held.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes.Write(p)
}

func TestNoLineIsLostAndEachWritersOrderKept(t *testing.T) {
	is := is.New(t)
	const writers, lines = 8, 4000 // more than the buffer holds
	var out gate
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

func TestWriteDoesNotWaitForTheLog(t *testing.T) {
	is := is.New(t)
	var out gate
	out.held.Lock()
	w := NewWriter(&out)
	_, err := io.WriteString(w, "line\n") // returns although the log hangs
	is.NoErr(err)
	out.held.Unlock()
	is.NoErr(w.Close())
	is.Equal(out.bytes.String(), "line\n")
	_, err = io.WriteString(w, "late\n")
	is.True(err != nil)
}
