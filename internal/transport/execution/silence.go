package execution

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/view"
)

// minSearchInterval is the minimum time between two searches for a continuation, and
// the time between two attempts that this router withholds.
const minSearchInterval = 100 * time.Millisecond

var (
	// errSilent is the cause of the cancellation of an attempt that is continued at
	// another endpoint because its own has sent nothing of use for too long.
	errSilent         = errors.New("the endpoint has sent no answer, or no event of a stream, for too long")
	errUnreachable    = errors.New("no other endpoint can be reached")
	errNoRetryAllowed = errors.New("no retry is left")
)

// silenceWatch watches one attempt. While its endpoint is silent it looks for a
// continuation: the permission to send the call to another endpoint, which can be
// reached and has a place for it. The attempt is read on meanwhile, since a sound
// endpoint may be silent and continue, and is cancelled only once the continuation
// is certain. A whole event, or the head of the answer, ends the search.
type silenceWatch struct {
	runner   *Runner
	endpoint view.EndpointID
	after    time.Duration
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// searches are those under way, one at a time by searching.
	searches  sync.WaitGroup
	searching sync.Mutex

	// timer begins a search at searchAt; it is nil if the attempt is not watched.
	timer *time.Timer

	mu       sync.Mutex
	searchAt time.Time // guarded by mu
	// progress is that of the call, without the attempt. Guarded by mu.
	progress progress
	// held is set while the endpoint does not count as silent. Guarded by mu.
	held bool
	// stopSearch ends the search under way; nil if there is none. Guarded by mu.
	stopSearch context.CancelFunc
	// continuation is set once the attempt has been given up, or its answer is to be
	// discarded. Guarded by mu.
	continuation *schedule.Start
}

// watchSilence returns the context of an attempt at the endpoint, and its watch. The
// attempt is watched only if another attempt would be left.
func (r *Runner) watchSilence(parent context.Context, p *progress, endpoint view.EndpointID, begun bool) (context.Context, *silenceWatch) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &silenceWatch{runner: r, endpoint: endpoint, after: p.call.MaxSilence, ctx: ctx, cancel: cancel, held: true}
	if w.after > 0 && r.attemptsLeft(p.afterAttempt(schedule.ResultSilent), schedule.ResultSilent) {
		w.timer = time.AfterFunc(w.after, w.search)
		w.resume(p, begun)
	}
	return ctx, w
}

// resume measures the silence from now on, or from the last event of a stream that has
// begun; see progress.silentAt. An answer that has begun and cannot be resumed is read to
// its end.
func (w *silenceWatch) resume(p *progress, begun bool) {
	if w.timer == nil || begun && !p.canResume() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held, w.progress, w.searchAt = false, *p, p.silentAt(time.Now())
	w.timer.Reset(time.Until(w.searchAt))
}

// hold ends the search, if there is one, because the endpoint has sent something of
// use. It returns false if the attempt has been given up; the answer that has arrived
// must then be discarded, unless it is complete.
func (w *silenceWatch) hold() bool {
	if w.timer == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = true
	w.timer.Stop()
	if w.stopSearch != nil {
		w.stopSearch()
		w.stopSearch = nil
	}
	return w.continuation == nil
}

// stop ends the watch and releases the context. It returns the continuation of an
// attempt that has been given up.
func (w *silenceWatch) stop() *schedule.Start {
	w.hold()
	w.cancel(nil)
	w.searches.Wait()
	return w.continuation
}

// result returns ResultSilent if the attempt has been given up and may have been
// sent, and the fallback otherwise.
func (w *silenceWatch) result(fallback schedule.Result) schedule.Result {
	if fallback != schedule.ResultNotSent && errors.Is(context.Cause(w.ctx), errSilent) {
		return schedule.ResultSilent
	}
	return fallback
}

// search looks for a continuation. If it finds one, it gives up the attempt, and
// otherwise looks again later.
func (w *silenceWatch) search() {
	ctx, next, ok := w.beginSearch()
	if !ok {
		return
	}
	defer w.searches.Done()
	w.searching.Lock()
	defer w.searching.Unlock()
	start, err := w.runner.findContinuation(ctx, next)
	if err == nil && !w.giveUp(ctx, next, &start) {
		w.runner.release(next.call, &start, schedule.ResultUnused)
		err = errNoRetryAllowed
	}
	if err != nil && ctx.Err() == nil {
		w.searchAgain(ctx, next, err)
	}
}

// beginSearch returns the context of a search and the progress of the call as it is
// if the attempt is given up; it returns false if the endpoint does not count as
// silent, or a search is under way: in a process that runs late, the timer may have
// expired twice.
func (w *silenceWatch) beginSearch() (context.Context, *progress, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held || w.stopSearch != nil || w.continuation != nil || w.ctx.Err() != nil || time.Now().Before(w.searchAt) {
		return nil, nil, false
	}
	ctx, stop := context.WithCancel(w.ctx)
	w.stopSearch = stop
	w.searches.Add(1)
	next := w.progress
	next.recordFailure(w.endpoint, schedule.ResultSilent)
	next.stillRuns = true
	return ctx, &next, true
}

// giveUp cancels the attempt in favour of the continuation, unless the endpoint has
// sent something meanwhile or no retry is left.
func (w *silenceWatch) giveUp(ctx context.Context, next *progress, start *schedule.Start) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil || w.runner.retryDenied(next, schedule.ResultSilent) != "" {
		return false
	}
	w.continuation = start
	w.cancel(errSilent)
	return true
}

// searchAgain schedules another search for the time stated with the error of the
// last one, but in time for the caller: halfway to the time at which it gives up.
func (w *silenceWatch) searchAgain(ctx context.Context, next *progress, err error) {
	at := time.Now().Add(defaultRetryDelay)
	var refused *RefusedError
	var problem *caller.Problem
	switch {
	case errors.As(err, &refused) && !refused.RetryAt.IsZero():
		at = refused.RetryAt
	case errors.As(err, &problem) && !problem.RetryAt.IsZero():
		at = problem.RetryAt
	}
	delay := time.Until(at)
	if left := time.Until(next.givesUpAt()); left > 0 {
		delay = min(delay, left/2)
	}
	delay = max(delay, minSearchInterval)
	w.runner.Logger.WithFields(log.Fields{
		"RequestID": next.call.RequestID, "Endpoint": w.endpoint, "Silence": time.Since(next.lastEventAt).Round(time.Millisecond), "Error": err,
	}).Info("ContinuationNotFound")
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	w.stopSearch()
	w.stopSearch = nil
	w.progress.rejecting = nil // they may have room by then
	w.searchAt = time.Now().Add(delay)
	w.timer.Reset(delay)
}

// findContinuation admits the call to another endpoint that can be reached.
func (r *Runner) findContinuation(ctx context.Context, p *progress) (schedule.Start, error) {
	for range maxUnreached {
		start, err := r.admit(ctx, p)
		if err != nil {
			return schedule.Start{}, err
		}
		state, err := r.checkReachable(ctx, p.call, start.Endpoint)
		switch {
		case err != nil:
			r.release(p.call, &start, schedule.ResultUnused)
			return schedule.Start{}, err
		case state == ProcessAlive:
			return start, nil
		case state == ProcessGone:
			r.release(p.call, &start, schedule.ResultNotSent)
		default:
			// This process may be the one that is late.
			r.release(p.call, &start, schedule.ResultUnused)
		}
		p.triedEndpoints = append(slices.Clip(p.triedEndpoints), start.Endpoint)
	}
	return schedule.Start{}, errUnreachable
}

// checkReachable returns an error if the call may not be sent to the endpoint, and
// otherwise whether the endpoint answers. Without a Prober, it is taken to do so.
func (r *Runner) checkReachable(ctx context.Context, c *Call, id view.EndpointID) (ProcessState, error) {
	if checker, ok := r.Backend.(SendChecker); ok {
		if err := checker.CheckSend(c, id); err != nil {
			return ProcessUnknown, fmt.Errorf("continue at endpoint %s: %w", id, err)
		}
	}
	e, listed := r.Views.View().Endpoint(id)
	switch {
	case !listed || e.Leaving && c.MaxAttempts > 0:
		return ProcessUnknown, nil
	case r.Prober == nil:
		return ProcessAlive, nil
	default:
		ctx, cancel := context.WithTimeout(ctx, reachTimeout)
		defer cancel()
		return r.Prober.Probe(ctx, e, time.Now().Add(-reachableFor)), nil
	}
}

// release returns an admission without an attempt.
func (r *Runner) release(c *Call, start *schedule.Start, result schedule.Result) {
	r.Scheduling.Input(schedule.Completion{ID: start.ID, Result: result})
	r.Gate.Done(c, &Outcome{Result: schedule.ResultNotSent})
}

// releaseContinuation returns the continuation that was found for the last attempt
// if the call ends with that attempt.
func (r *Runner) releaseContinuation(p *progress) {
	if p.continuation != nil {
		r.release(p.call, p.continuation, schedule.ResultUnused)
		p.continuation = nil
	}
}

// checkGivenUp returns an error if the watch has given up the attempt.
func (w *silenceWatch) checkGivenUp() error {
	if w.hold() {
		return nil
	}
	return fmt.Errorf("read answer: %w", errSilent)
}

// eventsArrived ends the search if whole events have arrived: bytes that complete no
// event are of no use to callers, who give up a stream after a time without events. It
// returns an error if the attempt has been given up, unless the answer is complete.
func (w *silenceWatch) eventsArrived(count int, complete bool) error {
	if count == 0 {
		return nil
	}
	if err := w.checkGivenUp(); err != nil && !complete {
		return err
	}
	return nil
}
