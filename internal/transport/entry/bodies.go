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

// Bodies bounds the memory that the bodies of all requests in a router take.
type BodyLimiter struct{ room *semaphore.Weighted }

// NewBodies returns bodies that take at most the given number of bytes.
func NewBodyLimiter(total int64) *BodyLimiter { return &BodyLimiter{semaphore.NewWeighted(total)} }

// Read reads a whole body of at most limit bytes by the deadline. The returned
// function gives its memory back.
func (b *BodyLimiter) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, func(), *caller.Problem) {
	if r.ContentLength > limit {
		return nil, nil, NewRefusal(http.StatusRequestEntityTooLarge, "Read", fmt.Sprintf("the body has %d bytes; at most %d are allowed", r.ContentLength, limit))
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !b.room.TryAcquire(reserved) {
		p := NewRefusal(http.StatusServiceUnavailable, "Read", "the router holds as many bodies as it may")
		p.RetryAt = time.Now().Add(time.Second)
		return nil, nil, p
	}
	held := reserved
	release := func() { b.room.Release(held) }
	// A writer that knows no deadlines is a test's recorder.
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
	// A body of unknown length had the largest one reserved; while it waits it
	// holds only what it is.
	held = int64(len(body))
	b.room.Release(reserved - held)
	return body, release, nil
}

// readBody makes room for a body of known length at once.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}
