package lateness

import (
	"context"
	"math"
	runtimemetrics "runtime/metrics"
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
	// waitMetric is the runtime's histogram of the time that goroutines were
	// runnable before they ran, and waitQuantile the part of them that must have
	// run within the time that is taken from it.
	waitMetric   = "/sched/latencies:seconds"
	waitQuantile = 0.9
)

// Meter measures how late this process runs. Its methods may be called
// concurrently.
type Meter struct {
	logger    log.Interface
	histogram metrics.Histogram
	// recent is the greatest lateness within the window, in nanoseconds.
	recent atomic.Int64
	cancel context.CancelFunc
	loop   sync.WaitGroup

	// The fields below belong to the goroutine of run.

	waits waits
	// current and previous are the greatest lateness of the current and the
	// previous half of the window.
	current, previous time.Duration
	halfEndsAt        time.Time
	late              bool
}

// Start returns a Meter that measures until it is closed.
func Start(registry metrics.Registry, logger log.Interface) *Meter {
	ctx, cancel := context.WithCancel(context.Background())
	m := newMeter(registry, logger, cancel)
	m.loop.Go(func() { m.run(ctx) })
	return m
}

func newMeter(registry metrics.Registry, logger log.Interface, cancel context.CancelFunc) *Meter {
	return &Meter{
		logger: logger, cancel: cancel,
		histogram: metrics.GetOrRegisterHistogram(MetricLateness, registry, metrics.NewExpDecaySample(sampleSize, sampleDecay)),
	}
}

// Recent returns the greatest lateness within the last half to one second.
func (m *Meter) Recent() time.Duration { return time.Duration(m.recent.Load()) }

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
	m.waits.sinceLast()
	for {
		due := time.Now().Add(sampleInterval)
		timer.Reset(sampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		m.record(now, max(now.Sub(due), m.waits.sinceLast()))
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

// waits reads the runtime's histogram of the times that goroutines wait.
type waits struct {
	sample [1]runtimemetrics.Sample
	// counts are the counts of the last reading, by bucket.
	counts []uint64
}

// sinceLast returns the time within which waitQuantile of the goroutines that
// have become runnable since the last call have run.
func (w *waits) sinceLast() time.Duration {
	w.sample[0].Name = waitMetric
	runtimemetrics.Read(w.sample[:])
	if w.sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0
	}
	h := w.sample[0].Value.Float64Histogram()
	added := make([]uint64, len(h.Counts))
	total := uint64(0)
	for i, n := range h.Counts {
		if i < len(w.counts) {
			n -= w.counts[i]
		}
		added[i] = n
		total += n
	}
	w.counts = append(w.counts[:0], h.Counts...)
	return quantile(added, h.Buckets, total)
}

// quantile returns the lower bound of the bucket that holds the waitQuantile of
// the counts; zero if there are none. Bucket i holds the values from bounds[i] up
// to bounds[i+1], in seconds.
func quantile(counts []uint64, bounds []float64, total uint64) time.Duration {
	rank := uint64(math.Ceil(waitQuantile * float64(total)))
	for i, n := range counts {
		if n >= rank && n > 0 {
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
		rank -= n
	}
	return 0
}
