package execution

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/invariant"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
)

// Sender sends scheduler messages to other routers. It must not block.
type Sender interface {
	SendScheduler(to view.RouterID, m schedule.Message)
}

// RefusedError reports that the scheduler refused a request, which was not
// sent.
type RefusedError struct {
	Reason  schedule.RefusalReason
	RetryAt time.Time
	// Detail states the grounds of the decision; it may be empty.
	Detail string
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("refused while waiting for capacity: %s", e.Reason)
	}
	return fmt.Sprintf("refused while waiting for capacity: %s (%s)", e.Reason, e.Detail)
}

// Scheduling connects a scheduler with the goroutines that wait for its
// decisions.
type Scheduling struct {
	driver *driver.Driver[schedule.Input, schedule.Output]
	sender Sender
	logger log.Interface
	lastID atomic.Uint64
	// onRates is called with the Rates of the scheduler; nil if they are not used.
	onRates func(received map[string]float64)

	mu      sync.Mutex
	waiting map[schedule.RequestID]waiter // guarded by mu
	queues  map[string]QueueStats         // guarded by mu
}

// waiter is a request that waits for a decision.
type waiter struct {
	organisation string
	// underway is the result of schedule.Request.Underway.
	underway bool
	decision chan schedule.Output
}

// QueueStats holds the statistics of one organisation's queue of waiting
// requests, without those that are underway.
type QueueStats struct {
	// Waiting is the number of requests that wait for a decision.
	Waiting int
	// Emptied is the number of times that the queue became empty.
	Emptied int
}

// NewScheduling returns a Scheduling that runs the given scheduler.
func NewScheduling(s schedule.Scheduler, sender Sender, logger log.Interface) *Scheduling {
	d := &Scheduling{sender: sender, logger: logger, waiting: make(map[schedule.RequestID]waiter), queues: make(map[string]QueueStats)}
	d.driver = driver.New(s.Step, schedule.Input(schedule.Alarm{}), d.apply)
	return d
}

// OnRates registers a callback for the Rates of the scheduler, which must not
// block. It must be called before the first input.
func (d *Scheduling) OnRates(callback func(received map[string]float64)) { d.onRates = callback }

// Input passes an input to the scheduler.
func (d *Scheduling) Input(in schedule.Input) { d.driver.Input(in) }

// Close stops the scheduler; requests that still wait end with their contexts.
func (d *Scheduling) Close() { d.driver.Close() }

// Waiting returns the number of requests that wait for a decision.
func (d *Scheduling) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

// RefuseWaiting refuses all waiting requests because the router is about to
// stop.
func (d *Scheduling) RefuseWaiting(retryAt time.Time) {
	d.mu.Lock()
	ids := make([]schedule.RequestID, 0, len(d.waiting))
	for id := range d.waiting {
		ids = append(ids, id)
	}
	d.mu.Unlock()
	for _, id := range ids {
		// The departure precedes the refusal, so that the scheduler cannot
		// start the request any more.
		d.driver.Input(schedule.Departure{ID: id})
		d.decide(id, schedule.Refusal{ID: id, Reason: schedule.RefusalDraining, RetryAt: retryAt})
	}
}

// Wait returns once the request may be sent. After a Start, the caller must
// pass a Completion to Input. The error is a *RefusedError or wraps the
// context's error.
func (d *Scheduling) Wait(ctx context.Context, r schedule.Request) (schedule.Start, error) {
	r.ID = schedule.RequestID(d.lastID.Add(1))
	decision := make(chan schedule.Output, 1)
	d.addWaiter(r.ID, waiter{r.Organisation, r.Underway(), decision})
	d.driver.Input(schedule.Arrival{Request: r})
	select {
	case out := <-decision:
		return startOrError(out)
	case <-ctx.Done():
	}
	d.driver.Input(schedule.Departure{ID: r.ID})
	d.removeWaiter(r.ID)
	select {
	case out := <-decision:
		// The scheduler started the request just before its departure; return
		// the slot.
		if s, ok := out.(schedule.Start); ok {
			d.driver.Input(schedule.Completion{ID: s.ID, Result: schedule.ResultUnused})
		}
	default:
	}
	return schedule.Start{}, fmt.Errorf("wait for capacity: %w", ctx.Err())
}

func startOrError(out schedule.Output) (schedule.Start, error) {
	switch o := out.(type) {
	case schedule.Start:
		return o, nil
	case schedule.Refusal:
		return schedule.Start{}, &RefusedError{Reason: o.Reason, RetryAt: o.RetryAt, Detail: o.Detail}
	default:
		return schedule.Start{}, fmt.Errorf("wait for capacity: unexpected decision %T", out)
	}
}

func (d *Scheduling) apply(out schedule.Output) {
	switch o := out.(type) {
	case schedule.Start:
		// A second start finds no waiter, since the first decision removed it.
		invariant.Check(d.decide(o.ID, o), invariant.OneStartPerRequest,
			"Request", strconv.FormatUint(uint64(o.ID), 10))
	case schedule.Refusal:
		d.decide(o.ID, o)
	case schedule.Send:
		d.sender.SendScheduler(o.To, o.Message)
	case schedule.Rates:
		if d.onRates != nil {
			d.onRates(o.Received)
		}
	case schedule.Wake:
		d.driver.WakeAt(o.At)
	case schedule.Decision:
		driver.LogDecision(d.logger, o.Event, o.Fields)
	}
}

// decide delivers a decision to the goroutine that waits for it, and returns
// false if there is none. It does not block: the channel buffers one decision,
// and each request gets one.
func (d *Scheduling) decide(id schedule.RequestID, out schedule.Output) bool {
	w, ok := d.removeWaiter(id)
	if ok {
		w.decision <- out
	}
	return ok
}

func (d *Scheduling) addWaiter(id schedule.RequestID, w waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[id] = w
	if w.underway {
		return
	}
	queue := d.queues[w.organisation]
	queue.Waiting++
	d.queues[w.organisation] = queue
}

// removeWaiter removes and returns the waiter of a request; it returns false if
// the request no longer waits.
func (d *Scheduling) removeWaiter(id schedule.RequestID) (waiter, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.waiting[id]
	if !ok {
		return waiter{}, false
	}
	delete(d.waiting, id)
	if w.underway {
		return w, true
	}
	queue := d.queues[w.organisation]
	queue.Waiting--
	if queue.Waiting == 0 {
		queue.Emptied++
	}
	d.queues[w.organisation] = queue
	return w, true
}

// QueueFull reports whether maxWaiting requests of the organisation, without those
// that are underway, already wait, in which case the scheduler would refuse
// another one. Under a flood of requests, checking this first saves the router most
// of the cost of such a refusal.
func (d *Scheduling) QueueFull(organisation string, maxWaiting int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queues[organisation].Waiting >= maxWaiting
}

// QueueStats returns the statistics of the organisation's queue.
func (d *Scheduling) QueueStats(organisation string) QueueStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queues[organisation]
}
