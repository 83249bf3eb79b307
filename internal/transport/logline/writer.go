package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is the longest time that a line stays in the buffer while
	// the output accepts data.
	flushInterval = 50 * time.Millisecond
	// maxBytes bounds the buffered bytes.
	maxBytes = 1 << 20
	// closeTimeout bounds the time that Close waits for an output that blocks.
	closeTimeout = 500 * time.Millisecond
)

// Writer buffers log lines and writes them to its output in the background. Its
// methods may be called concurrently.
type Writer struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	buffer  []byte
	dropped int
	closed  bool

	out io.Writer
	// spare replaces buffer at the next flush, so that two allocations are used
	// in turn. Only the run goroutine uses it.
	spare []byte
	// dataReady has capacity one. It signals that the buffer holds data, so that
	// the run goroutine sleeps while the log is idle.
	dataReady chan struct{}
	stop      chan struct{}
	stopped   chan struct{}
}

// NewWriter returns a Writer that writes to out. The caller must close the
// Writer.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, dataReady: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers the bytes for the next flush, or drops and counts them if the
// buffer has no room. It never blocks on the output, and fails only after Close.
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
	case w.dataReady <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Dropped returns the number of dropped writes that have not been reported in the
// log yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close flushes the buffer and waits until that is done, for at most
// closeTimeout.
func (w *Writer) Close() error {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.stop)
	}
	select {
	case <-w.stopped:
		return nil
	case <-time.After(closeTimeout):
		return fmt.Errorf("close log: the output did not accept the buffered lines within the close timeout")
	}
}

func (w *Writer) run() {
	defer close(w.stopped)
	for {
		select {
		case <-w.dataReady:
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

// flush writes the buffer to the output without blocking concurrent calls of
// Write. An error of the output is ignored, since there is no other place to
// report it.
func (w *Writer) flush() {
	w.mu.Lock()
	batch := w.buffer
	w.buffer = w.spare[:0]
	if w.dropped > 0 {
		batch = fmt.Appendf(batch, "timestamp=%s level=warn message=LinesDropped Count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.dropped)
		w.dropped = 0
	}
	w.mu.Unlock()
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
	w.spare = batch
}
