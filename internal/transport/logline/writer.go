package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is the longest time that a line waits in the buffer.
	flushInterval = 50 * time.Millisecond
	// maxBytes bounds the buffer.
	maxBytes = 1 << 20
	// closeWithin bounds the time that Close waits for a log that hangs.
	closeWithin = 500 * time.Millisecond
)

// Writer buffers what is written to it and passes it on in the background.
type Writer struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	buffer  []byte
	dropped int
	closed  bool

	out io.Writer
	// spare is used by run alone.
	spare []byte
	// filled has room for one signal, sent with the first bytes of a buffer, so
	// that an idle log costs nothing.
	filled chan struct{}
	stop   chan struct{}
	ended  chan struct{}
}

// NewWriter returns a Writer over out, which must be closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, filled: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write keeps the bytes for the next flush, or drops and counts them when the
// buffer is full. It never waits, and fails only after Close.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, io.ErrClosedPipe
	}
	if len(w.buffer)+len(p) > maxBytes {
		w.dropped++
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	select {
	case w.filled <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped that no line has told of yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is left and waits, but not for long for a log that nobody
// takes.
func (w *Writer) Close() error {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.stop)
	}
	select {
	case <-w.ended:
		return nil
	case <-time.After(closeWithin):
		return fmt.Errorf("close log: its reader takes nothing")
	}
}

func (w *Writer) run() {
	defer close(w.ended)
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

// flush passes on what the buffer holds, without holding up those who write.
// There is nowhere to report a log that can't be written.
func (w *Writer) flush() {
	w.mu.Lock()
	full := w.buffer
	w.buffer = w.spare[:0]
	if w.dropped > 0 {
		full = fmt.Appendf(full, "timestamp=%s level=warn message=LinesDropped Count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.dropped)
		w.dropped = 0
	}
	w.mu.Unlock()
	if len(full) > 0 {
		_, _ = w.out.Write(full)
	}
	w.spare = full
}
