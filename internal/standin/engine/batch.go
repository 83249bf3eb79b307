package engine

import (
	"context"
	"time"
)

const (
	// maxIdleWait is the longest time for which an idle engine waits before it
	// checks its queue again.
	maxIdleWait = time.Second
	// maxCatchUp is the largest delay of a step that the following steps make
	// up for.
	maxCatchUp = 20 * time.Millisecond
)

// sequence is a request that is queued or running in the engine.
type sequence struct {
	id          string
	prompt      *prompt
	tag         string
	totalTokens int
	// crashesEngine is set if the engine crashes at the end of the request's
	// first step.
	crashesEngine bool
	// onStart is called once, when the request enters the batch.
	onStart func(now time.Time)
	// progress has a buffer of one and receives a signal after each change of
	// the fields below.
	progress chan struct{}

	// The fields below are guarded by the engine's mu.
	generated int
	cancelled bool
}

// run executes the steps of the batch until the context ends.
func (e *Engine) run(ctx context.Context) {
	defer e.background.Done()
	stepEnd := time.Now()
	for ctx.Err() == nil {
		stepTime := e.beginStep()
		if stepTime == 0 {
			e.waitForRequest(ctx)
			stepEnd = time.Now()
			continue
		}
		// The end of a step is computed from the end of the previous one, so
		// that a timer that fires late doesn't slow the engine down. A stall
		// longer than maxCatchUp is not made up for.
		stepEnd = stepEnd.Add(stepTime)
		if time.Since(stepEnd) > maxCatchUp {
			stepEnd = time.Now()
		}
		if sleepUntil(ctx, stepEnd) && e.endStep() {
			e.Crash()
		}
	}
}

// sleepUntil sleeps until the given time. It returns false if the context ends
// first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForRequest waits until a request is queued, for at most maxIdleWait.
func (e *Engine) waitForRequest(ctx context.Context) {
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	select {
	case <-e.arrived:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// beginStep moves requests from the queue into the batch and returns the
// duration of the step, or zero if no request runs.
func (e *Engine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var prefill time.Duration
	for len(e.running) < e.settings.MaxBatch && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, s)
		s.onStart(now)
		uncached := max(0, s.prompt.tokens-e.cache.admit(now, s.prompt.text))
		prefill += time.Duration(uncached) * e.settings.PrefillTimePerToken
	}
	e.recordLoad(now)
	if len(e.running) == 0 {
		return 0
	}
	additional := time.Duration(len(e.running) - 1)
	return e.settings.StepTime + additional*e.settings.StepTimePerRequest + prefill
}

// endStep adds a token to every running request, removes those that are
// complete, and reports whether one of the requests crashes the engine.
func (e *Engine) endStep() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	crashesEngine := false
	remaining := e.running[:0]
	for _, s := range e.running {
		s.generated++
		crashesEngine = crashesEngine || s.crashesEngine
		s.signal()
		if s.generated < s.totalTokens {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	return crashesEngine
}

// signal notifies the request's handler of a change, without blocking.
func (s *sequence) signal() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// submit appends the request to the queue.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.queue = append(e.queue, s)
	e.byRequestID[s.id] = s
	e.mu.Unlock()
	select {
	case e.arrived <- struct{}{}:
	default:
	}
}

// remove removes the request from the engine, whether it is queued, running or
// complete.
func (e *Engine) remove(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byRequestID[s.id] == s {
		delete(e.byRequestID, s.id)
	}
	e.queue = without(e.queue, s)
	e.running = without(e.running, s)
}

// cancel cancels the request with the given id. It returns false if there is
// none.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	s := e.byRequestID[id]
	if s != nil {
		s.cancelled = true
		s.signal()
	}
	e.mu.Unlock()
	if s != nil {
		e.remove(s)
	}
	return s != nil
}

// without returns the list without s. It doesn't modify the original.
func without(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// sequenceState returns the number of tokens generated for the request, and
// whether the request has been cancelled.
func (e *Engine) sequenceState(s *sequence) (generated int, cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.cancelled
}
