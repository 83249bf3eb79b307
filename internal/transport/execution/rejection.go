package execution

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopreach/internal/state/view"
)

// maxRetrySpread bounds the random part of the time to return after a rejection.
const maxRetrySpread = time.Second

// rejectedError reports an attempt that its endpoint has not run.
type rejectedError struct {
	endpoint  view.EndpointID
	status    int
	reopensAt time.Time // see Runner.ReopensAt
}

func (r *Runner) newRejectedError(a *Attempt, answer Answer) *rejectedError {
	e := &rejectedError{endpoint: a.Endpoint.ID, status: answer.Status()}
	if r.ReopensAt != nil {
		e.reopensAt = r.ReopensAt(a.Call.Service.Pool)
	}
	return e
}

// Error describes the rejection.
func (e *rejectedError) Error() string {
	return fmt.Sprintf("endpoint %s answered status %d: it has not run the attempt", e.endpoint, e.status)
}

// retryAt returns when the caller of a call that failed with the error may retry. A
// random part follows the end of a pause, so that callers do not return at once.
func retryAt(now time.Time, err error) time.Time {
	var e *rejectedError
	if !errors.As(err, &e) || !now.Before(e.reopensAt) {
		return now.Add(defaultRetryDelay)
	}
	return e.reopensAt.Add(rand.N(min(e.reopensAt.Sub(now)/2, maxRetrySpread) + 1))
}
