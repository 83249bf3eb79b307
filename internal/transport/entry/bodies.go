package entry

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"hyssopreach/internal/protocol/caller"
)

// BodyLimiter bounds the memory held by the bodies of all requests in a router. If there is
// none left, bodies that no longer arrive give way to others.
type BodyLimiter struct {
	memory *semaphore.Weighted

	mu sync.Mutex
	// arriving are the bodies that have not arrived as a whole; guarded by mu.
	arriving map[*growingBody]bool
}

// NewBodyLimiter returns a BodyLimiter that allows at most total bytes.
func NewBodyLimiter(total int64) *BodyLimiter {
	return &BodyLimiter{memory: semaphore.NewWeighted(total), arriving: map[*growingBody]bool{}}
}

// firstBodyBytes is the size of the first buffer for a body.
const firstBodyBytes = 16 << 10

var errBodiesFull = errors.New("the router holds as many bodies as it may")

// Read reads a complete body of at most limit bytes by the deadline. Memory is reserved
// as the body arrives, so that slow callers reserve little; a body for which there is no
// more is refused. The returned function releases the memory.
func (b *BodyLimiter) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, func(), *caller.Problem) {
	if r.ContentLength > limit {
		return nil, nil, NewRefusal(http.StatusRequestEntityTooLarge, "Read", fmt.Sprintf("the body has %d bytes; at most %d are allowed", r.ContentLength, limit))
	}
	// Only the response recorders of tests do not support deadlines.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	body := &growingBody{limiter: b, size: limit, maxRead: math.MaxInt / 2, progressAt: time.Now(), stop: func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }}
	b.begin(body)
	var err error
	if r.ContentLength < 0 {
		body.maxRead = chunkedRead
		err = body.read(http.MaxBytesReader(w, r.Body, limit))
	} else {
		body.size = r.ContentLength
		err = body.readFull(r.Body)
	}
	if b.end(body) {
		err = errBodiesFull
	}
	if err != nil {
		// The deadline remains, since net/http reads on before it sends the refusal.
		body.release()
		return nil, nil, bodyRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	body.clip()
	return body.data, body.release, nil
}

func bodyRefusal(err error) *caller.Problem {
	if errors.Is(err, errBodiesFull) {
		p := NewRefusal(http.StatusServiceUnavailable, "Read", err.Error())
		p.RetryAt = time.Now().Add(time.Second)
		return p
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	return NewRefusal(status, "Read", fmt.Sprintf("read the body: %v", err))
}

// growingBody is a body whose buffer grows as it arrives, up to size.
type growingBody struct {
	limiter *BodyLimiter
	size    int64
	data    []byte
	// held is the memory that is reserved for the buffer; guarded by the limiter's mu while
	// the body arrives.
	held int64
	// maxRead bounds a read of the body.
	maxRead int
	// stop ends the read of the body.
	stop func()
	// progressAt is when stallBytes of the body had last arrived, and progressBytes what had
	// arrived then. stopped is set once the body gives way to another. All are guarded by the
	// limiter's mu.
	progressAt    time.Time
	progressBytes int
	stopped       bool
}

// read reads until the reader ends, which it must do before it has returned more than size
// bytes.
func (g *growingBody) read(r io.Reader) error {
	for {
		err := g.fill(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		// Whether the body ends here is known only from another read.
		var next [1]byte
		switch _, err := io.ReadFull(r, next[:]); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		if err := g.grow(); err != nil {
			return err
		}
		g.data = append(g.data, next[0])
	}
}

// readFull reads size bytes.
func (g *growingBody) readFull(r io.Reader) error {
	for int64(len(g.data)) < g.size {
		if err := g.grow(); err != nil {
			return err
		}
		if err := g.fill(r); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// fill reads until the buffer is full.
func (g *growingBody) fill(r io.Reader) error {
	for len(g.data) < cap(g.data) {
		n, err := r.Read(g.data[len(g.data):min(len(g.data)+g.maxRead, cap(g.data))])
		g.data = g.data[:len(g.data)+n]
		g.limiter.recordProgress(g, len(g.data))
		if err != nil && (len(g.data) < cap(g.data) || !errors.Is(err, io.EOF)) {
			return err
		}
	}
	return nil
}

// grow reserves memory for a buffer of twice the size and copies the body to it.
func (g *growingBody) grow() error {
	size := min(max(2*int64(cap(g.data)), firstBodyBytes), g.size)
	if !g.limiter.acquire(g, size-g.held) {
		return errBodiesFull
	}
	g.data = append(make([]byte, 0, size), g.data...)
	return nil
}

// clip returns the memory that the complete body does not need.
func (g *growingBody) clip() {
	if spare := g.held - int64(len(g.data)); spare > 0 {
		g.data = append(make([]byte, 0, len(g.data)), g.data...)
		g.limiter.memory.Release(spare)
		g.held -= spare
	}
}

func (g *growingBody) release() {
	g.limiter.memory.Release(g.held)
	g.held = 0
}
