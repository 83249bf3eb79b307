package execution

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// noAnswerError is the cause with which a call ends at Call.AnswerBy. It is a timeout.
type noAnswerError struct{}

// Error describes the end.
func (noAnswerError) Error() string { return "no answer has arrived in time for the caller" }

// Timeout implements net.Error.
func (noAnswerError) Timeout() bool { return true }

// Temporary implements net.Error.
func (noAnswerError) Temporary() bool { return true }

// Is reports that the time of the call is over.
func (noAnswerError) Is(target error) bool { return target == context.DeadlineExceeded }

// answerLimit ends a call for which no answer arrives by Call.AnswerBy, so that its caller
// learns that in time. An answer that arrives is read on until the deadline.
type answerLimit struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu sync.Mutex
	// The fields below are guarded by mu.
	due, arriving, ended bool
}

// limitAnswer returns the context of the call, which ends at its deadline at the latest,
// and its limit.
func limitAnswer(ctx context.Context, c *Call) (context.Context, *answerLimit) {
	ctx, stop := context.WithDeadline(ctx, c.Deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	l := &answerLimit{cancel: func(cause error) {
		cancel(cause)
		stop()
	}}
	if !c.AnswerBy.IsZero() && c.AnswerBy.Before(c.Deadline) {
		l.timer = time.AfterFunc(time.Until(c.AnswerBy), func() { l.update(func() { l.due = true }) })
	}
	return ctx, l
}

// update changes the state and ends the call if that is due then.
func (l *answerLimit) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if l.due && !l.arriving && !l.ended {
		l.ended = true
		l.cancel(noAnswerError{})
	}
}

// answerArrives records that the head of an answer has arrived.
func (l *answerLimit) answerArrives() { l.update(func() { l.arriving = true }) }

// answerFailed records that the caller gets nothing of that answer.
func (l *answerLimit) answerFailed() { l.update(func() { l.arriving = false }) }

// stop releases the context.
func (l *answerLimit) stop() {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.cancel(nil)
}

// explain adds to an error that the limit has ended the call, if it has.
func (l *answerLimit) explain(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		return err
	}
	return fmt.Errorf("%w: %w", noAnswerError{}, err)
}
