package endpoint

import (
	"bytes"
	"fmt"
	"sync"

	"hyssopreach/internal/transport/memory"
)

const (
	// freeHeadBytes is the size of a head that counts towards no limit.
	freeHeadBytes = 16 << 10
	// headFieldBytes is the memory that net/http takes for a header field in addition
	// to its bytes, of which it holds a copy beside its buffers.
	headFieldBytes, headByteCopies = 200, 2
	// maxErrorBytes bounds the text of an error, in which net/http quotes whole lines of
	// an answer.
	maxErrorBytes = 300
)

var lineEnd = []byte("\n")

// headMeter accounts for the memory of the heads with which an endpoint answers one
// attempt: informational ones and the last.
type headMeter struct {
	mu      sync.Mutex
	holding memory.Holding // guarded by mu
	size    int64          // guarded by mu
	// lineBytes is the length of the current line, without carriage returns. Guarded
	// by mu.
	lineBytes int
	// ended is set once the last head has been read, or the attempt has failed. Guarded
	// by mu.
	ended bool
}

// add accounts for bytes that have arrived, and returns an error if there is no memory
// for them. Bytes after an empty line are taken for the body unless they begin another
// head.
func (m *headMeter) add(part []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for found := true; found && !m.ended; {
		var line []byte
		line, part, found = bytes.Cut(part, lineEnd)
		m.size += int64(len(line)) * headByteCopies
		m.lineBytes += len(line) - bytes.Count(line, []byte("\r"))
		if !found {
			break
		}
		empty := m.lineBytes == 0
		m.lineBytes = 0
		m.size += headFieldBytes
		if empty && !bytes.HasPrefix(part, []byte("HTTP/1.")) {
			break
		}
	}
	if m.ended {
		return nil
	}
	if err := m.holding.Resize(m.size); err != nil {
		return fmt.Errorf("read the head of the answer: %w", err)
	}
	return nil
}

// end records that the last head has been read.
func (m *headMeter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
}

// release returns the memory once the head is no longer used.
func (m *headMeter) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.holding.Release()
}

// limitedError returns an error whose text is bounded: the given one, or one with the
// beginning of its text.
func limitedError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return fmt.Errorf("%.*s... (%d bytes)", maxErrorBytes, text, len(text))
}
