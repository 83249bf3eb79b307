package driver

import (
	"sync"
	"time"
)

// Step is the transition function of a state machine.
type Step[I, O any] func(now time.Time, in I) []O

// Driver owns a state machine.
type Driver[I, O any] struct {
	alarm I

	mu     sync.Mutex
	step   Step[I, O]  // guarded by mu
	apply  func(O)     // guarded by mu
	timer  *time.Timer // guarded by mu
	wakeAt time.Time   // guarded by mu
	closed bool        // guarded by mu
	alarms sync.WaitGroup
}

// New returns a driver that applies each output by calling apply, and feeds
// the alarm input when an instant set with WakeAt has come.
func New[I, O any](step Step[I, O], alarm I, apply func(O)) *Driver[I, O] {
	return &Driver[I, O]{alarm: alarm, step: step, apply: apply}
}

// Input feeds one input to the machine and applies what it asks for. After
// Close it does nothing.
func (d *Driver[I, O]) Input(in I) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	for _, o := range d.step(time.Now(), in) {
		d.apply(o)
	}
}

// WakeAt replaces the instant at which the alarm is fed. It may be called only
// from within apply, since the machine is locked there.
func (d *Driver[I, O]) WakeAt(at time.Time) {
	if d.closed {
		return
	}
	if d.timer != nil && at.Equal(d.wakeAt) {
		return
	}
	d.stopTimer()
	d.wakeAt = at
	d.alarms.Add(1)
	d.timer = time.AfterFunc(time.Until(at), func() {
		defer d.alarms.Done()
		d.ring(at)
	})
}

func (d *Driver[I, O]) ring(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !at.Equal(d.wakeAt) {
		return
	}
	d.timer = nil
	for _, o := range d.step(time.Now(), d.alarm) {
		d.apply(o)
	}
}

// stopTimer requires that mu is held.
func (d *Driver[I, O]) stopTimer() {
	if d.timer != nil && d.timer.Stop() {
		d.alarms.Done()
	}
	d.timer = nil
}

// Close stops the timer and waits for a running alarm to end.
func (d *Driver[I, O]) Close() {
	d.mu.Lock()
	d.closed = true
	d.stopTimer()
	d.mu.Unlock()
	d.alarms.Wait()
}
