package logline

import (
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is the longest time that a line waits in the buffer.
	flushInterval = 50 * time.Millisecond
	// maxBytes bounds the buffer.
	maxBytes = 256 << 10
)

// Writer buffers what is written to it and passes it on in the background.
type Writer struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	buffer []byte
	closed bool

	// out is guarded by outMu, which is taken before mu.
	outMu sync.Mutex
	out   io.Writer
	spare []byte // guarded by outMu

	// filled has room for one signal, sent with the first bytes of a buffer, so
	// that an idle log costs nothing.
	filled chan struct{}
	stop   chan struct{}
	ended  sync.WaitGroup
}

// NewWriter returns a Writer over out, which must be closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, filled: make(chan struct{}, 1), stop: make(chan struct{})}
	w.ended.Go(w.run)
	return w
}

// Write keeps the bytes for the next flush. It fails only after Close.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	first := len(w.buffer) == 0
	w.buffer = append(w.buffer, p...)
	full := len(w.buffer) >= maxBytes
	w.mu.Unlock()
	switch {
	case full:
		w.flush()
	case first:
		select {
		case w.filled <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

// Close writes what is left and waits.
func (w *Writer) Close() error {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.stop)
	}
	w.ended.Wait()
	return nil
}

func (w *Writer) run() {
	for {
		select {
		case <-w.filled:
			select {
			case <-time.After(flushInterval):
			case <-w.stop:
			}
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush passes on what the buffer holds. There is nowhere to report a log that
// can't be written.
func (w *Writer) flush() {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	full := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	if len(full) > 0 {
		_, _ = w.out.Write(full)
	}
	w.spare = full
}
