package execution

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
)

// BreakCause states why an answer that had begun was not completed.
type BreakCause string

// The causes.
const (
	// CauseEndpoint means that the endpoint broke off an answer that cannot be
	// resumed.
	CauseEndpoint BreakCause = "Endpoint"
	// CauseScheduler and CauseGate mean that the scheduler or the Gate refused the
	// continuation.
	CauseScheduler BreakCause = "Scheduler"
	CauseGate      BreakCause = "Gate"
	// CauseAttempts means that no attempt was left, and CauseRetryBudget that the
	// retry budget was empty.
	CauseAttempts    BreakCause = "Attempts"
	CauseRetryBudget BreakCause = "RetryBudget"
	// CauseDeadline means that the time for the answer ended.
	CauseDeadline BreakCause = "Deadline"
	// CauseCaller means that the caller left, or did not accept the answer.
	CauseCaller BreakCause = "Caller"
)

// BrokenError reports that an answer broke off after it had begun. Its error is
// never a *caller.Problem, which stands for an answer that has not begun.
type BrokenError struct {
	Err error
	// Cause is empty if it is not known.
	Cause BreakCause
	// Silence is the time since the last event of a stream, or since the call began.
	Silence time.Duration
	// Attempts is the number of attempts that were made.
	Attempts int
}

// NewBrokenError returns the error of an answer that broke off because of err.
func NewBrokenError(err error) *BrokenError {
	var problem *caller.Problem
	if errors.As(err, &problem) {
		err = fmt.Errorf("continue the answer: %s: %s", problem.Step, problem.Detail)
	}
	return &BrokenError{Err: err}
}

// Error describes why the answer broke off.
func (e *BrokenError) Error() string { return fmt.Sprintf("the answer broke off: %v", e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// broken returns the error of an answer that broke off for the given cause.
func (p *progress) broken(cause BreakCause, err error) *BrokenError {
	b := NewBrokenError(err)
	b.Cause, b.Silence, b.Attempts = cause, time.Since(p.lastEventAt), p.attempts
	return b
}

// contextCause returns the cause of an answer whose context has ended.
func contextCause(ctx context.Context) BreakCause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CauseDeadline
	}
	return CauseCaller
}

// admitCause returns the cause of an answer whose continuation was not admitted.
func admitCause(ctx context.Context, err error) BreakCause {
	var refused *RefusedError
	switch {
	case ctx.Err() != nil:
		return contextCause(ctx)
	case errors.As(err, &refused):
		return CauseScheduler
	case errors.Is(err, errManyRejections):
		return CauseAttempts
	case errors.Is(err, errNoRetryAllowed):
		return CauseRetryBudget
	default:
		return CauseGate
	}
}

// endCause returns why the call ends after an attempt that failed with the given
// error; it is empty if another attempt is allowed, which is then taken from the
// retry budget, for a stream that has begun as soon as that is not empty.
func (r *Runner) endCause(ctx context.Context, p *progress, out *sinkTracker, result schedule.Result, err error) BreakCause {
	var callerErr *sinkError
	switch {
	case errors.As(err, &callerErr):
		return CauseCaller
	case ctx.Err() != nil:
		return contextCause(ctx)
	case out.started && !p.canResume():
		return CauseEndpoint
	case p.continuation != nil:
		return "" // taken from the budget when it was found
	}
	cause := r.retryDenied(p, result)
	if p.retryOwed = cause == CauseRetryBudget && p.canPostpone(); p.retryOwed {
		return ""
	}
	return cause
}
