package driver

import (
	"sync"
	"time"
)

// Step is the transition function of a state machine: it processes one input at
// the given instant and returns the outputs to apply.
type Step[I, O any] func(now time.Time, in I) []O

// Driver runs a state machine. It is safe for concurrent use.
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

// New returns a driver that applies each output by calling apply, and feeds the
// alarm input to the machine at the instant set with WakeAt.
func New[I, O any](step Step[I, O], alarm I, apply func(O)) *Driver[I, O] {
	return &Driver[I, O]{alarm: alarm, step: step, apply: apply}
}

// Input feeds one input to the machine and applies the resulting outputs. After
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

// WakeAt sets the instant at which the alarm input is fed, replacing an earlier
// one. It must be called only from within apply, where the machine is locked.
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
		d.fireAlarm(at)
	})
}

// fireAlarm feeds the alarm input unless the driver is closed or the instant of
// the alarm has been replaced in the meantime.
func (d *Driver[I, O]) fireAlarm(at time.Time) {
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

// stopTimer stops the timer, if there is one. It requires that mu is held.
func (d *Driver[I, O]) stopTimer() {
	if d.timer != nil && d.timer.Stop() {
		d.alarms.Done()
	}
	d.timer = nil
}

// Close stops the timer and waits until a running alarm has ended.
func (d *Driver[I, O]) Close() {
	d.mu.Lock()
	d.closed = true
	d.stopTimer()
	d.mu.Unlock()
	d.alarms.Wait()
}
