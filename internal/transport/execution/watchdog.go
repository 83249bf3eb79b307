package execution

import (
	"context"
	"errors"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// errSilent is the cause of an attempt's end when its endpoint sends nothing.
var errSilent = errors.New("the endpoint has sent nothing for too long")

// watchdog ends an attempt whose endpoint is silent for too long.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	limit  time.Duration
	timer  *time.Timer
}

// newWatchdog returns a context that ends when the endpoint is silent for the
// limit; zero means no limit.
func newWatchdog(parent context.Context, limit time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, limit: limit}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() { cancel(errSilent) })
	}
	return ctx, w
}

// heard starts the limit anew.
func (w *watchdog) heard() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

// stop ends the watch and releases the context.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// result tells silence from other ends.
func (w *watchdog) result(otherwise schedule.Result) schedule.Result {
	if otherwise != schedule.ResultNotSent && errors.Is(context.Cause(w.ctx), errSilent) {
		return schedule.ResultSilent
	}
	return otherwise
}
