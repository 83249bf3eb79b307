package execution

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
)

const (
	// lateProbeDelay is the time after a break that the endpoint did not cause by closing
	// the connection, after which the endpoint is asked again: it may crash after bytes that
	// are no answer.
	lateProbeDelay = 250 * time.Millisecond
	// lateProbeTimeout bounds the time in which a crash is recognised.
	lateProbeTimeout = 3 * time.Second
	// maxLateProbes bounds the attempts whose endpoints are examined at the same time.
	maxLateProbes = 256
)

// lateProbes are the attempts whose endpoints are examined after their ends.
type lateProbes struct {
	running sync.WaitGroup

	mu     sync.Mutex
	closed bool // guarded by mu
	// cancels end the examinations. Guarded by mu.
	cancels map[*Attempt]context.CancelFunc
}

// add returns the context of one more examination; false if there are too many.
func (l *lateProbes) add(a *Attempt, until time.Time) (context.Context, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.cancels) >= maxLateProbes {
		return nil, false
	}
	if l.cancels == nil {
		l.cancels = map[*Attempt]context.CancelFunc{}
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	l.cancels[a] = cancel
	l.running.Add(1)
	return ctx, true
}

func (l *lateProbes) remove(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels[a]()
	delete(l.cancels, a)
	l.running.Done()
}

// Close ends the examinations that are under way after the ends of their attempts.
func (r *Runner) Close() {
	r.late.mu.Lock()
	r.late.closed = true
	for _, cancel := range r.late.cancels {
		cancel()
	}
	r.late.mu.Unlock()
	r.late.running.Wait()
}

// probeLater goes on to examine the endpoint of an attempt that broke off with the error,
// if its process may still be found to have ended by that: one that has not answered, or
// that answered before it could close the connection.
func (r *Runner) probeLater(a *Attempt, o Outcome, state ProcessState, err error) {
	if r.Prober == nil || r.CrashedLate == nil || state == ProcessAlive && connectionEnded(err) {
		return
	}
	ctx, ok := r.late.add(a, a.EndedAt.Add(lateProbeTimeout))
	if !ok {
		return
	}
	notBefore := a.EndedAt.Add(settleTime)
	if state == ProcessAlive {
		notBefore = a.EndedAt.Add(lateProbeDelay)
	}
	go func() {
		defer r.late.remove(a)
		if r.Prober.Probe(ctx, &a.Endpoint, notBefore) != ProcessGone {
			return
		}
		r.Logger.WithFields(log.Fields{
			"RequestID": a.Call.RequestID, "Endpoint": a.Endpoint.ID, "Delay": time.Since(a.EndedAt).Round(time.Millisecond),
		}).Info("CrashRecognisedLate")
		o.Crashed = true
		r.CrashedLate(a.Call, &o)
	}()
}

// connectionEnded reports whether the error shows that the endpoint ended the connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errEventTruncated) ||
		errors.Is(err, errEndUnexplained) || errors.Is(err, errEndedByCrash) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
