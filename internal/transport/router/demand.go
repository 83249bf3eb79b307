package router

import (
	"context"
	"sync"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/execution"
)

// modelKey names a model within a pool.
type modelKey struct{ pool, model string }

// count is what waits and runs for one model at this router.
type count struct{ waiting, running int }

// demand counts the calls that wait and run for each model. It stands before
// another gate.
type demand struct {
	execution.Gate

	mu      sync.Mutex
	waiting map[*execution.Call]struct{} // guarded by mu
	counts  map[modelKey]count           // guarded by mu
}

func newDemand(next execution.Gate) *demand {
	return &demand{Gate: next, waiting: map[*execution.Call]struct{}{}, counts: map[modelKey]count{}}
}

// Admit counts a call that waits for a place; see execution.Gate.
func (d *demand) Admit(ctx context.Context, c *execution.Call) (bool, error) {
	alone, err := d.Gate.Admit(ctx, c)
	if err == nil && c.Service.Kind == text.KindModel {
		d.mu.Lock()
		d.waiting[c] = struct{}{}
		d.add(c, count{waiting: 1})
		d.mu.Unlock()
	}
	return alone, err
}

// Holds counts a call that has got a place; see execution.Gate.
func (d *demand) StillAdmitted(c *execution.Call, alone bool) bool {
	d.stopWaiting(c)
	return d.Gate.StillAdmitted(c, alone)
}

// Over passes the end of a try on; see execution.Gate.
func (d *demand) Done(c *execution.Call, id view.EndpointID, result schedule.Result) {
	d.stopWaiting(c)
	d.Gate.Done(c, id, result)
}

// AttemptStarted counts a call that runs.
func (d *demand) AttemptStarted(a *execution.Attempt) { d.run(a, 1) }

// AttemptEnded counts a call that runs no more.
func (d *demand) AttemptEnded(a *execution.Attempt, _ schedule.Result, _ error) { d.run(a, -1) }

func (d *demand) run(a *execution.Attempt, n int) {
	if a.Call.Service.Kind != text.KindModel {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(a.Call, count{running: n})
}

func (d *demand) stopWaiting(c *execution.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.waiting[c]; ok {
		delete(d.waiting, c)
		d.add(c, count{waiting: -1})
	}
}

// add requires that mu is held.
func (d *demand) add(c *execution.Call, n count) {
	key := modelKey{c.Service.Pool, c.Model}
	sum := d.counts[key]
	sum.waiting += n.waiting
	sum.running += n.running
	if sum == (count{}) {
		delete(d.counts, key)
		return
	}
	d.counts[key] = sum
}

// of returns the counts of a pool's models.
func (d *demand) of(pool string) map[string]count {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string]count{}
	for key, n := range d.counts {
		if key.pool == pool {
			counts[key.model] = n
		}
	}
	return counts
}
