package engine

import (
	"context"
	"time"
)

const (
	// maxIdle bounds the wait of an engine that has nothing to run.
	maxIdle = time.Second
	// maxCatchUp bounds the steps that are made up for after a late timer.
	maxCatchUp = 20 * time.Millisecond
)

// sequence is a request in the engine.
type sequence struct {
	id     string
	prompt *prompt
	tag    string
	total  int
	kills  bool
	// began is called once, when the request enters the batch.
	began func(now time.Time)
	// progress has room for one signal, sent after each change below.
	progress chan struct{}

	// The fields below are guarded by the engine's mu.
	generated int
	cancelled bool
}

// run steps the batch until the life ends.
func (e *Engine) run(life context.Context) {
	defer e.background.Done()
	next := time.Now()
	for life.Err() == nil {
		took := e.beginStep()
		if took == 0 {
			e.idle(life)
			next = time.Now()
			continue
		}
		// Steps are counted from an instant, so that a timer that fires late
		// doesn't slow the engine down; a long stall isn't caught up with.
		next = next.Add(took)
		if time.Since(next) > maxCatchUp {
			next = time.Now()
		}
		if sleepUntil(life, next) && e.endStep() {
			e.Crash()
		}
	}
}

// sleepUntil returns false if the context ends first.
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

// idle waits for a request.
func (e *Engine) idle(life context.Context) {
	timer := time.NewTimer(maxIdle)
	defer timer.Stop()
	select {
	case <-e.arrived:
	case <-timer.C:
	case <-life.Done():
	}
}

// beginStep moves requests from the queue into the batch and returns the time
// of the step, zero if nothing runs.
func (e *Engine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var prefill time.Duration
	for len(e.running) < e.settings.MaxBatch && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, s)
		s.began(now)
		uncached := max(0, s.prompt.tokens-e.cache.admit(now, s.prompt.text))
		prefill += time.Duration(uncached) * e.settings.PrefillTimePerToken
	}
	e.record(now)
	if len(e.running) == 0 {
		return 0
	}
	more := time.Duration(len(e.running) - 1)
	return e.settings.StepTime + more*e.settings.StepTimePerRequest + prefill
}

// endStep gives a token to every running request and reports whether one of
// them kills the engine.
func (e *Engine) endStep() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	kills := false
	kept := e.running[:0]
	for _, s := range e.running {
		s.generated++
		kills = kills || s.kills
		s.signal()
		if s.generated < s.total {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	return kills
}

func (s *sequence) signal() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// submit queues a request.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.queue = append(e.queue, s)
	e.bySequence[s.id] = s
	e.mu.Unlock()
	select {
	case e.arrived <- struct{}{}:
	default:
	}
}

// drop takes a request out of the engine, whether it waits, runs or is done.
func (e *Engine) drop(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bySequence[s.id] == s {
		delete(e.bySequence, s.id)
	}
	e.queue = without(e.queue, s)
	e.running = without(e.running, s)
}

// cancel ends the request of that id; it returns false if there is none.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	s := e.bySequence[id]
	if s != nil {
		s.cancelled = true
		s.signal()
	}
	e.mu.Unlock()
	if s != nil {
		e.drop(s)
	}
	return s != nil
}

func without(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// state returns what the handler of the request needs to know.
func (e *Engine) state(s *sequence) (generated int, cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.cancelled
}
