package answer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/transport/memory"
)

// End is the way in which an attempt ended.
type End uint8

// The ways in which an attempt ends. Their values are part of the protocol
// between routers.
const (
	// EndNone means that the attempt has not ended.
	EndNone End = iota
	// EndComplete means that the request ran and its response is complete.
	EndComplete
	// EndBroken means that the request ran and its response was cut short.
	EndBroken
	// EndEvicted means that the request ran and the body of its response has
	// been evicted.
	EndEvicted
	// EndUnsent means that no byte of the request was sent.
	EndUnsent
	// EndUnknown means that the request may have run.
	EndUnknown
)

var (
	errEnded    = errors.New("the attempt has ended")
	errTooLarge = errors.New("the answer is too large to be kept")
)

// Attempt is this router's handling of the requests with one idempotency key. It
// implements Sink for the response, which any number of readers may read
// concurrently.
type Attempt struct {
	store    *Store
	key      claim.Digest
	bodyHash uint64

	mu      sync.Mutex
	id      claim.ID      // guarded by mu; the present claim of the attempt, zero before SetClaim
	changed chan struct{} // guarded by mu; closed and replaced at each change of state
	sent    bool          // guarded by mu
	readers int           // guarded by mu
	cancel  func()        // guarded by mu
	began   bool          // guarded by mu
	status  int           // guarded by mu
	header  http.Header   // guarded by mu
	// headerBytes is the memory reserved for the header. Guarded by mu.
	headerBytes int64
	body        []byte    // guarded by mu
	end         End       // guarded by mu
	err         error     // guarded by mu
	endedAt     time.Time // guarded by mu
}

// Key returns the digest of the request's key.
func (a *Attempt) Key() claim.Digest { return a.key }

// BodyHash returns the hash that was passed to Store.Attach when the attempt was
// created.
func (a *Attempt) BodyHash() uint64 { return a.bodyHash }

// MarkSent records that the request is about to be sent. From then on it is not
// cancelled when its last reader detaches.
func (a *Attempt) MarkSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = true
}

// MarkUnsent reverts MarkSent when no byte of the request was sent, and cancels
// the attempt if it has no readers left.
func (a *Attempt) MarkUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = false
	a.cancelIfUnused()
}

// Sent reports whether the request may have been sent.
func (a *Attempt) Sent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// Begin stores the status and the header of the response. It fails if the store has no
// room for the header.
func (a *Attempt) Begin(status int, header http.Header) error {
	size := int64(memory.HeaderBytes(header))
	if !a.store.reserve(size) {
		return errTooLarge
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != EndNone {
		a.store.bytes.Add(-size)
		return errEnded
	}
	a.began, a.status, a.header, a.headerBytes = true, status, header.Clone(), a.headerBytes+size
	a.notifyReaders()
	return nil
}

// Write appends to the body of the response. It fails if the store has no room
// for the bytes.
func (a *Attempt) Write(p []byte) (int, error) {
	if !a.store.reserve(int64(len(p))) {
		return 0, errTooLarge
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != EndNone {
		a.store.bytes.Add(-int64(len(p)))
		return 0, errEnded
	}
	a.body = append(a.body, p...)
	a.notifyReaders()
	return len(p), nil
}

// End records that the response is complete.
func (a *Attempt) End() error {
	a.finish(EndComplete, nil)
	return nil
}

// Finish ends the attempt without a complete response. It has no effect on an
// attempt that has ended. EndUnsent is recorded as EndUnknown if the request was
// marked as sent.
func (a *Attempt) Finish(end End, err error) { a.finish(end, err) }

func (a *Attempt) finish(end End, err error) {
	a.mu.Lock()
	if a.end != EndNone {
		a.mu.Unlock()
		return
	}
	if a.sent && end == EndUnsent {
		end = EndUnknown
	}
	a.end, a.err, a.endedAt = end, err, a.store.now()
	a.notifyReaders()
	a.mu.Unlock()
	a.store.recordEnd(a)
}

// evictBody discards the body of the response if the attempt ended before
// evictBefore or the store is over its limit, unless the attempt has readers.
// It reports whether it evicted the body, and whether the body is retained
// because neither condition holds.
func (a *Attempt) evictBody(evictBefore time.Time, overLimit bool) (evicted, retained bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !overLimit && !a.endedAt.Before(evictBefore) {
		return false, true
	}
	if a.readers > 0 {
		return false, false
	}
	a.store.bytes.Add(-int64(len(a.body)) - a.headerBytes)
	a.body, a.header, a.headerBytes = nil, nil, 0
	if a.end == EndComplete {
		a.end = EndEvicted
	}
	return true, false
}

func (a *Attempt) endedBefore(instant time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt.Before(instant)
}

func (a *Attempt) claimID() claim.ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.id
}

// notifyReaders wakes the readers that wait for progress. It requires that mu is
// held.
func (a *Attempt) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Sink receives a response.
type Sink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) (int, error)
	End() error
}

// CopyTo streams the response to the sink from its first byte until the attempt
// ends. It returns how the attempt ended and the error that it ended with; end is
// EndNone if the context ends first or the sink does not accept the header or
// the body. Begun reports whether sink.Begin was called.
func (a *Attempt) CopyTo(ctx context.Context, sink Sink) (end End, begun bool, err error) {
	offset := 0
	for {
		p := a.progressAt(offset)
		if p.began && !begun {
			if err := sink.Begin(p.status, p.header); err != nil {
				return EndNone, true, err
			}
			begun = true
		}
		if len(p.body) > 0 {
			if _, err := sink.Write(p.body); err != nil {
				return EndNone, begun, err
			}
			offset += len(p.body)
			continue
		}
		if p.end == EndComplete {
			return EndComplete, begun, sink.End()
		}
		if p.end != EndNone {
			return p.end, begun, p.err
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return EndNone, begun, ctx.Err()
		}
	}
}

// progress is the state of an attempt as seen by a reader, with the part of the
// body that begins at the reader's offset.
type progress struct {
	began   bool
	status  int
	header  http.Header
	body    []byte
	end     End
	err     error
	changed <-chan struct{}
}

func (a *Attempt) progressAt(offset int) progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return progress{
		began: a.began && a.end != EndEvicted, status: a.status, header: a.header,
		body: a.body[min(offset, len(a.body)):], end: a.end, err: a.err, changed: a.changed,
	}
}

// Detach detaches a reader. If the last reader detaches before the request was
// sent, the attempt is cancelled.
func (a *Attempt) Detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.cancelIfUnused()
}

// cancelIfUnused cancels the attempt if it has not been sent, has not ended and
// has no readers. It requires that mu is held.
func (a *Attempt) cancelIfUnused() {
	if a.readers == 0 && !a.sent && a.end == EndNone && a.cancel != nil {
		a.cancel()
	}
}
