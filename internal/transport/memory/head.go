package memory

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
)

const (
	// freeHeadBytes is the size of a head that counts towards no limit.
	freeHeadBytes = 16 << 10
	// headFieldBytes is the memory that net/http takes for a header field in addition
	// to its bytes, of which it holds a copy beside its buffers.
	headFieldBytes, headByteCopies = 200, 2
)

var (
	lineEnd        = []byte("\n")
	carriageReturn = []byte("\r")
	answerStart    = []byte("HTTP/1.")
)

// HeaderBytes returns the approximate memory that a header takes.
func HeaderBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += headFieldBytes + len(name) + len(value)
		}
	}
	return size
}

// HeadMeter accounts for the memory of the head of an HTTP request, or of the heads of the
// answers to one: informational ones and the last. It is safe for concurrent use.
type HeadMeter struct {
	mu      sync.Mutex
	holding Holding // guarded by mu
	// single is set if there is one head only, which the first empty line ends. Guarded
	// by mu.
	single bool
	size   int64 // guarded by mu
	// lineBytes is the length of the current line, without carriage returns. Guarded
	// by mu.
	lineBytes int
	// ended is set once the last head has been read, or reading it has failed. Guarded
	// by mu.
	ended bool
}

// LimitAnswer makes the heads of an answer count towards the limiter.
func (m *HeadMeter) LimitAnswer(l *Limiter) { m.limit(l, false) }

// LimitRequest makes the head of a request count towards the limiter.
func (m *HeadMeter) LimitRequest(l *Limiter) { m.limit(l, true) }

func (m *HeadMeter) limit(l *Limiter, single bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding, m.single = l.NewHolding(freeHeadBytes), single
}

// Add accounts for bytes that have arrived, and returns an error if there is no memory
// for them. Bytes after an empty line are taken for the body unless they begin the head of
// another answer.
func (m *HeadMeter) Add(part []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil
	}
	for found := true; found; {
		var line []byte
		line, part, found = bytes.Cut(part, lineEnd)
		m.size += int64(len(line)) * headByteCopies
		m.lineBytes += len(line) - bytes.Count(line, carriageReturn)
		if !found {
			break
		}
		empty := m.lineBytes == 0
		m.lineBytes = 0
		m.size += headFieldBytes
		if empty && m.single {
			m.ended = true
			break
		}
		if empty && !bytes.HasPrefix(part, answerStart) {
			break
		}
	}
	if err := m.holding.Resize(m.size); err != nil {
		return fmt.Errorf("read a head: %w", err)
	}
	return nil
}

// End records that the last head has been read.
func (m *HeadMeter) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
}

// Release ends the metering and returns the memory, once the head is no longer used.
func (m *HeadMeter) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.holding.Release()
}

// Restart returns the memory of a head that is no longer used and begins with the next one.
func (m *HeadMeter) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding.Release()
	m.size, m.lineBytes, m.ended = 0, 0, false
}
