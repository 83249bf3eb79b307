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

// Sender delivers scheduler messages to other routers; it must not block.
type Sender interface {
	SendScheduler(to view.RouterID, m schedule.Message)
}

// RefusedError says that the scheduler refused a request that was not sent.
type RefusedError struct {
	Reason  schedule.RefusalReason
	RetryAt time.Time
	// Detail holds what decided it; it may be empty.
	Detail string
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("refused while waiting for capacity: %s", e.Reason)
	}
	return fmt.Sprintf("refused while waiting for capacity: %s (%s)", e.Reason, e.Detail)
}

// Scheduling connects a scheduler with the goroutines whose requests wait.
type Scheduling struct {
	driver *driver.Driver[schedule.Input, schedule.Output]
	sender Sender
	logger log.Interface
	lastID atomic.Uint64

	mu      sync.Mutex
	waiting map[schedule.RequestID]waiter // guarded by mu
	lines   map[string]QueueStats         // guarded by mu
}

// waiter is a request without a decision.
type waiter struct {
	organisation string
	decided      chan schedule.Output
}

// Line is what is known of one organisation's waiting requests.
type QueueStats struct {
	// Waiting is the number of its requests without a decision.
	Waiting int
	// Emptied is the number of times that none was left.
	Emptied int
}

// NewScheduling runs the given scheduler.
func NewScheduling(s schedule.Scheduler, sender Sender, logger log.Interface) *Scheduling {
	d := &Scheduling{sender: sender, logger: logger, waiting: make(map[schedule.RequestID]waiter), lines: make(map[string]QueueStats)}
	d.driver = driver.New(s.Step, schedule.Input(schedule.Alarm{}), d.apply)
	return d
}

// Input feeds the scheduler.
func (d *Scheduling) Input(in schedule.Input) { d.driver.Input(in) }

// Close stops the scheduler; requests that still wait end with their contexts.
func (d *Scheduling) Close() { d.driver.Close() }

// Waiting returns the number of requests that wait for a decision.
func (d *Scheduling) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

// RefuseWaiting refuses everything that waits; the router is about to stop.
func (d *Scheduling) RefuseWaiting(retryAt time.Time) {
	d.mu.Lock()
	ids := make([]schedule.RequestID, 0, len(d.waiting))
	for id := range d.waiting {
		ids = append(ids, id)
	}
	d.mu.Unlock()
	for _, id := range ids {
		// The departure comes first, so that no start can follow it.
		d.driver.Input(schedule.Departure{ID: id})
		d.decide(id, schedule.Refusal{ID: id, Reason: schedule.RefusalDraining, RetryAt: retryAt})
	}
}

// Wait returns once the request may be sent. A request that has got a Start
// must be ended with Complete. The error is a *RefusedError or the context's.
func (d *Scheduling) Wait(ctx context.Context, r schedule.Request) (schedule.Start, error) {
	r.ID = schedule.RequestID(d.lastID.Add(1))
	decided := make(chan schedule.Output, 1)
	d.add(r.ID, waiter{r.Organisation, decided})
	d.driver.Input(schedule.Arrival{Request: r})
	select {
	case out := <-decided:
		return verdict(out)
	case <-ctx.Done():
	}
	d.driver.Input(schedule.Departure{ID: r.ID})
	d.take(r.ID)
	select {
	case out := <-decided:
		// The start came just before the departure; its slot goes back.
		if s, ok := out.(schedule.Start); ok {
			d.driver.Input(schedule.Completion{ID: s.ID, Result: schedule.ResultNotSent})
		}
	default:
	}
	return schedule.Start{}, fmt.Errorf("wait for capacity: %w", ctx.Err())
}

func verdict(out schedule.Output) (schedule.Start, error) {
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
		// A second start finds nobody waiting, since a decision takes its
		// waiter away.
		invariant.Check(d.decide(o.ID, o), invariant.OneStartPerRequest,
			"Request", strconv.FormatUint(uint64(o.ID), 10))
	case schedule.Refusal:
		d.decide(o.ID, o)
	case schedule.Send:
		d.sender.SendScheduler(o.To, o.Message)
	case schedule.Wake:
		d.driver.WakeAt(o.At)
	case schedule.Decision:
		driver.LogDecision(d.logger, o.Event, o.Fields)
	}
}

// decide hands a decision to the goroutine that waits for it. The channel has
// room for one, and each request gets one decision.
func (d *Scheduling) decide(id schedule.RequestID, out schedule.Output) bool {
	w, ok := d.take(id)
	if ok {
		w.decided <- out
	}
	return ok
}

func (d *Scheduling) add(id schedule.RequestID, w waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[id] = w
	line := d.lines[w.organisation]
	line.Waiting++
	d.lines[w.organisation] = line
}

// take removes a request from those that wait; it fails if it waits no more.
func (d *Scheduling) take(id schedule.RequestID) (waiter, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.waiting[id]
	if !ok {
		return waiter{}, false
	}
	delete(d.waiting, id)
	line := d.lines[w.organisation]
	line.Waiting--
	if line.Waiting == 0 {
		line.Emptied++
	}
	d.lines[w.organisation] = line
	return w, true
}

// Full reports whether the scheduler would refuse a further request of the
// organisation because as many wait as may. It saves a router under a flood
// most of what such a refusal costs.
func (d *Scheduling) QueueFull(organisation string, most int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lines[organisation].Waiting >= most
}

// Line returns what is known of the organisation's waiting requests.
func (d *Scheduling) QueueStats(organisation string) QueueStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lines[organisation]
}
