package router

import (
	"context"
	"sync"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/transport/execution"
)

// modelKey identifies a model within a pool.
type modelKey struct{ pool, model string }

// callCounts is the number of waiting and running calls for one model at this
// router.
type callCounts struct{ waiting, running int }

// demand counts the waiting and running calls for each model. It wraps another
// gate.
type demand struct {
	execution.Gate

	mu      sync.Mutex
	waiting map[*execution.Call]struct{} // guarded by mu
	counts  map[modelKey]callCounts      // guarded by mu
}

func newDemand(next execution.Gate) *demand {
	return &demand{Gate: next, waiting: map[*execution.Call]struct{}{}, counts: map[modelKey]callCounts{}}
}

// Admit implements execution.Gate; it counts a call to a model as waiting once
// the wrapped gate has admitted it.
func (d *demand) Admit(ctx context.Context, c *execution.Call) (bool, error) {
	exclusive, err := d.Gate.Admit(ctx, c)
	if err == nil && c.Service.Kind == text.KindModel {
		d.mu.Lock()
		d.waiting[c] = struct{}{}
		d.add(c, callCounts{waiting: 1})
		d.mu.Unlock()
	}
	return exclusive, err
}

// StillAdmitted implements execution.Gate; the call has an endpoint now and no
// longer counts as waiting.
func (d *demand) StillAdmitted(c *execution.Call, exclusive bool) bool {
	d.stopWaiting(c)
	return d.Gate.StillAdmitted(c, exclusive)
}

// Done implements execution.Gate; the call no longer counts as waiting.
func (d *demand) Done(c *execution.Call, o *execution.Outcome) func(context.Context) {
	d.stopWaiting(c)
	return d.Gate.Done(c, o)
}

// AttemptStarted counts a running call.
func (d *demand) AttemptStarted(a *execution.Attempt) { d.addRunning(a, 1) }

// AttemptEnded removes a running call from the counts.
func (d *demand) AttemptEnded(a *execution.Attempt, _ schedule.Result, _ error) { d.addRunning(a, -1) }

func (d *demand) addRunning(a *execution.Attempt, n int) {
	if a.Call.Service.Kind != text.KindModel {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(a.Call, callCounts{running: n})
}

func (d *demand) stopWaiting(c *execution.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.waiting[c]; ok {
		delete(d.waiting, c)
		d.add(c, callCounts{waiting: -1})
	}
}

// add adds n to the counts of the call's model. It requires that mu is held.
func (d *demand) add(c *execution.Call, n callCounts) {
	key := modelKey{c.Service.Pool, c.Model}
	sum := d.counts[key]
	sum.waiting += n.waiting
	sum.running += n.running
	if sum == (callCounts{}) {
		delete(d.counts, key)
		return
	}
	d.counts[key] = sum
}

// countsOf returns the counts of the pool's models by name.
func (d *demand) countsOf(pool string) map[string]callCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string]callCounts{}
	for key, n := range d.counts {
		if key.pool == pool {
			counts[key.model] = n
		}
	}
	return counts
}
