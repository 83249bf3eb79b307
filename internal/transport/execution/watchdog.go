package execution

import (
	"context"
	"errors"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// errSilent is the cause of the cancellation of an attempt whose endpoint sends
// nothing of use.
var errSilent = errors.New("the endpoint has sent no answer, or no event of a stream, for too long")

// watchdog cancels an attempt whose endpoint sends nothing of use within the
// timeout.
type watchdog struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timeout time.Duration
	timer   *time.Timer
}

// newWatchdog returns a context that is cancelled when the endpoint sends
// nothing within the timeout; zero means no timeout.
func newWatchdog(parent context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, timeout: timeout}
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, func() { cancel(errSilent) })
	}
	return ctx, w
}

// reset restarts the timeout after the endpoint has sent the head of its answer
// or a whole event.
func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// stop stops the timer and releases the context.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// result returns ResultSilent if the watchdog cancelled an attempt that may
// have been sent, and the fallback otherwise.
func (w *watchdog) result(fallback schedule.Result) schedule.Result {
	if fallback != schedule.ResultNotSent && errors.Is(context.Cause(w.ctx), errSilent) {
		return schedule.ResultSilent
	}
	return fallback
}
