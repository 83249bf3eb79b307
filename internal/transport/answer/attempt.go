package answer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hyssopreach/internal/state/claim"
)

// End tells how an attempt ended.
type End uint8

// The ends of an attempt. Their values are part of the protocol.
const (
	// EndNone means that the attempt has not ended.
	EndNone End = iota
	// EndWhole means that the request ran and its answer is whole.
	EndWhole
	// EndBroken means that the request ran and its answer broke off.
	EndBroken
	// EndDropped means that the request ran and its answer is not kept.
	EndDropped
	// EndUnsent means that nothing of the request was ever sent.
	EndUnsent
	// EndUnknown means that the request may have run.
	EndUnknown
)

var (
	errEnded = errors.New("the attempt has ended")
	errLarge = errors.New("the answer is too large to be kept")
)

// Attempt is the request of one claim. It is a sink for the answer and may be
// read by many at once.
type Attempt struct {
	store    *Store
	key      claim.Digest
	bodyHash uint64

	mu      sync.Mutex
	id      claim.ID      // guarded by mu
	changed chan struct{} // guarded by mu; closed and replaced at each change
	sent    bool          // guarded by mu
	readers int           // guarded by mu
	cancel  func()        // guarded by mu
	began   bool          // guarded by mu
	status  int           // guarded by mu
	header  http.Header   // guarded by mu
	body    []byte        // guarded by mu
	end     End           // guarded by mu
	err     error         // guarded by mu
	endedAt time.Time     // guarded by mu
}

// Key returns the digest of the request's key.
func (a *Attempt) Key() claim.Digest { return a.key }

// BodyHash returns the hash of the request.
func (a *Attempt) BodyHash() uint64 { return a.bodyHash }

// MarkSent notes that the request is about to be sent. From then on it runs to
// its end, whether or not anyone waits for the answer.
func (a *Attempt) MarkSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = true
}

// MarkUnsent notes that nothing of the request was sent after all.
func (a *Attempt) MarkUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = false
	a.abandon()
}

// Sent reports whether the request may have been sent.
func (a *Attempt) Sent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// Begin takes the head of the answer.
func (a *Attempt) Begin(status int, header http.Header) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != EndNone {
		return errEnded
	}
	a.began, a.status, a.header = true, status, header.Clone()
	a.wake()
	return nil
}

// Write takes a part of the answer.
func (a *Attempt) Write(p []byte) (int, error) {
	if !a.store.reserve(int64(len(p))) {
		return 0, errLarge
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != EndNone {
		a.store.bytes.Add(-int64(len(p)))
		return 0, errEnded
	}
	a.body = append(a.body, p...)
	a.wake()
	return len(p), nil
}

// End finishes a whole answer.
func (a *Attempt) End() error {
	a.finish(EndWhole, nil)
	return nil
}

// Finish ends an attempt without a whole answer. An attempt that has ended
// keeps its first end.
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
	a.wake()
	a.mu.Unlock()
	a.store.ended(a)
}

// drop forgets the bytes of an answer that nobody reads, if it ended before
// the instant or if room is needed. Done is set when neither is so.
func (a *Attempt) drop(oldest time.Time, needed bool) (dropped, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !needed && !a.endedAt.Before(oldest) {
		return false, true
	}
	if a.readers > 0 {
		return false, false
	}
	a.store.bytes.Add(-int64(len(a.body)))
	a.body, a.header = nil, nil
	if a.end == EndWhole {
		a.end = EndDropped
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

// wake requires that mu is held.
func (a *Attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Sink receives an answer.
type Sink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) (int, error)
	End() error
}

// CopyTo reads the answer from its beginning and follows it to its end, which
// it returns together with the error that the attempt ended with. Begun tells
// whether the sink has got the head of an answer.
func (a *Attempt) CopyTo(ctx context.Context, sink Sink) (end End, begun bool, err error) {
	offset := 0
	for {
		p := a.next(offset)
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
		if p.end == EndWhole {
			return EndWhole, begun, sink.End()
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

// progress is what a reader finds at its offset.
type progress struct {
	began   bool
	status  int
	header  http.Header
	body    []byte
	end     End
	err     error
	changed <-chan struct{}
}

func (a *Attempt) next(offset int) progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return progress{
		began: a.began && a.end != EndDropped, status: a.status, header: a.header,
		body: a.body[min(offset, len(a.body)):], end: a.end, err: a.err, changed: a.changed,
	}
}

// Leave notes that a reader has gone. When the last one goes before the
// request was sent, the attempt is given up.
func (a *Attempt) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.abandon()
}

// abandon gives up what was not sent and nobody waits for. It requires that mu
// is held.
func (a *Attempt) abandon() {
	if a.readers == 0 && !a.sent && a.end == EndNone && a.cancel != nil {
		a.cancel()
	}
}
