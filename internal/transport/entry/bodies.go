package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"hyssopreach/internal/protocol/caller"
)

// BodyLimiter bounds the memory held by the bodies of all requests in a router.
type BodyLimiter struct{ memory *semaphore.Weighted }

// NewBodyLimiter returns a BodyLimiter that allows at most total bytes.
func NewBodyLimiter(total int64) *BodyLimiter { return &BodyLimiter{semaphore.NewWeighted(total)} }

// Read reads a complete body of at most limit bytes by the deadline. The
// returned function releases the memory reserved for the body.
func (b *BodyLimiter) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, func(), *caller.Problem) {
	if r.ContentLength > limit {
		return nil, nil, NewRefusal(http.StatusRequestEntityTooLarge, "Read", fmt.Sprintf("the body has %d bytes; at most %d are allowed", r.ContentLength, limit))
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !b.memory.TryAcquire(reserved) {
		p := NewRefusal(http.StatusServiceUnavailable, "Read", "the router holds as many bodies as it may")
		p.RetryAt = time.Now().Add(time.Second)
		return nil, nil, p
	}
	held := reserved
	release := func() { b.memory.Release(held) }
	// Only the response recorders of tests do not support deadlines.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	body, err := readBody(w, r, limit)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		release()
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		return nil, nil, NewRefusal(status, "Read", fmt.Sprintf("read the body: %v", err))
	}
	// For a body of unknown length, limit bytes were reserved; from now on
	// reserve only its actual length.
	held = int64(len(body))
	b.memory.Release(reserved - held)
	return body, release, nil
}

// readBody reads the body; if its length is known, it allocates the buffer at
// once.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}
