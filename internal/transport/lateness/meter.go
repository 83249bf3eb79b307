package lateness

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// sampleInterval is the time between two measurements.
	sampleInterval = 50 * time.Millisecond
	// window is the time over which Recent takes the maximum, in two halves.
	window = time.Second
	// lateThreshold is the lateness from which the process counts as late. A
	// process that is late by half of it or less throughout the window is on
	// time again.
	lateThreshold = 100 * time.Millisecond
	// MetricLateness is the histogram of the measured lateness in microseconds.
	MetricLateness = "ProcessLatenessMicros"
	// sampleSize and sampleDecay are the size of the histogram and the weight of
	// the newer values in it.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Meter measures how late this process runs. Its methods may be called
// concurrently.
type Meter struct {
	logger    log.Interface
	histogram metrics.Histogram
	// observers are called with each sample.
	observers []func(lateness time.Duration)
	// recent is the greatest lateness within the window, in nanoseconds, and due
	// the instant of the next sample in nanoseconds since start.
	recent, due atomic.Int64
	start       time.Time
	cancel      context.CancelFunc
	loop        sync.WaitGroup

	// The fields below belong to the goroutine of run.

	// current and previous are the greatest lateness of the current and the
	// previous half of the window.
	current, previous time.Duration
	halfEndsAt        time.Time
	late              bool
}

// Start returns a Meter that measures until it is closed. The observers are
// called with each sample and must not block.
func Start(registry metrics.Registry, logger log.Interface, observers ...func(lateness time.Duration)) *Meter {
	ctx, cancel := context.WithCancel(context.Background())
	m := newMeter(registry, logger, cancel)
	m.observers = observers
	m.loop.Go(func() { m.run(ctx) })
	return m
}

func newMeter(registry metrics.Registry, logger log.Interface, cancel context.CancelFunc) *Meter {
	return &Meter{
		logger: logger, cancel: cancel, start: time.Now(),
		histogram: metrics.GetOrRegisterHistogram(MetricLateness, registry, metrics.NewExpDecaySample(sampleSize, sampleDecay)),
	}
}

// Recent returns the greatest lateness within the last half to one second,
// including that of a sample that is overdue.
func (m *Meter) Recent() time.Duration {
	overdue := time.Since(m.start) - time.Duration(m.due.Load())
	return max(time.Duration(m.recent.Load()), overdue)
}

// Late reports whether the process has recently run so late that times which it
// measures say more about itself than about others.
func (m *Meter) Late() bool { return m.Recent() >= lateThreshold }

// Close stops the measurement and waits until it has ended.
func (m *Meter) Close() {
	m.cancel()
	m.loop.Wait()
}

func (m *Meter) run(ctx context.Context) {
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(sampleInterval)
		m.due.Store(int64(due.Sub(m.start)))
		timer.Reset(sampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		// A goroutine whose timer fires runs next. One that yields runs after all
		// that are runnable, as does one for which data has arrived.
		runtime.Gosched()
		now := time.Now()
		lateness := max(now.Sub(due), 0)
		m.record(now, lateness)
		for _, observe := range m.observers {
			observe(lateness)
		}
	}
}

// record processes one measurement.
func (m *Meter) record(now time.Time, lateness time.Duration) {
	m.histogram.Update(lateness.Microseconds())
	if !now.Before(m.halfEndsAt) {
		m.previous, m.current, m.halfEndsAt = m.current, 0, now.Add(window/2)
	}
	m.current = max(m.current, lateness)
	recent := max(m.current, m.previous)
	m.recent.Store(int64(recent))
	switch {
	case !m.late && recent >= lateThreshold:
		m.late = true
		m.logger.WithField("Lateness", recent).Warn("ProcessLate")
	case m.late && recent <= lateThreshold/2:
		m.late = false
		m.logger.WithField("Lateness", recent).Info("ProcessOnTime")
	}
}
