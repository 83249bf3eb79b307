package dispatch

import (
	"math"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// initialLimit is the limit at which the search for an endpoint's limit
	// begins.
	initialLimit = 4
	// maxMemoryUsed is the used fraction of an endpoint's memory above which the
	// endpoint gets no further request.
	maxMemoryUsed = 0.97
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.2
	// baseRiseWeight is the weight with which the base latency moves towards a
	// higher sample, so that an outdated low value is eventually replaced.
	baseRiseWeight = 0.001
	// rateAveragingTime is the time over which the rate of completions is
	// averaged.
	rateAveragingTime = 2 * time.Second
	// aheadTransits is the number of transit times by which grants run ahead of
	// free slots, so that the next request is at the endpoint when a slot becomes
	// free.
	aheadTransits = 3
	// loadLifetime is how long an endpoint's report of its queue is used.
	loadLifetime = 10 * time.Second
	// maxEndpointQueue is the number of requests that may wait in the endpoint's
	// own queue, so that the endpoint never runs out of work.
	maxEndpointQueue = 1
)

// limit estimates how many requests an endpoint runs efficiently at once.
//
// For an engine that streams, it estimates the length of the engine's queue by
// Little's law: the rate of completions times the excess of the time to first
// token over its base. For other endpoints, a probe compares the durations of
// whole calls. The endpoint's own report of its queue takes precedence over
// both.
type limit struct {
	value          float64
	rampingUp      bool // the limit grows fast until the first sign of a queue
	probe          probe
	baseLatency    float64 // seconds
	latency        float64 // seconds
	completionRate float64 // per second
	rateUpdatedAt  time.Time
	// transitTime is the smoothed time in seconds that a grant and its return take
	// on the network.
	transitTime float64
	memoryUsed  float64
	// loadFreshUntil is the instant until which the endpoint's last report of its
	// queue is used instead of the time to first token.
	loadFreshUntil time.Time
	// changedAt is the instant at which the limit last changed to another whole
	// number. Loads measured earlier are ignored because they reflect the previous
	// limit.
	changedAt time.Time
}

func newLimit() limit { return limit{value: initialLimit, rampingUp: true} }

// room is the number of requests that may be added to the running ones.
func (l *limit) room(running int) int {
	if l.memoryUsed > maxMemoryUsed && running > 0 {
		return 0
	}
	return max(0, l.effective()-running)
}

// effective is the limit plus the grants given ahead: about the number of
// completions in a few transit times, which is negligible for long calls. The
// last term turns rounding down into rounding to the nearest integer for short
// calls, of which one or more complete within a transit time.
func (l *limit) effective() int {
	return int(l.value + aheadTransits*l.completionRate*l.transitTime + 0.5*min(1, l.completionRate*l.transitTime))
}

// raiseTo raises the limit to the number of requests that are known to run.
func (l *limit) raiseTo(running int) { l.value = max(l.value, float64(running)) }

// observeFirstToken adjusts the limit to the time to first token of a request.
func (l *limit) observeFirstToken(now time.Time, first time.Duration, running int) {
	seconds := first.Seconds()
	if l.baseLatency == 0 {
		l.baseLatency, l.latency = seconds, seconds
	}
	l.latency += latencyWeight * (seconds - l.latency)
	l.baseLatency = min(seconds, l.baseLatency+baseRiseWeight*(seconds-l.baseLatency))
	queued := l.completionRate * max(0, l.latency-l.baseLatency)
	saturated := running >= l.effective()
	switch {
	case now.Before(l.loadFreshUntil):
	case queued > 2*maxEndpointQueue+1:
		l.rampingUp = false
		l.set(now, l.value-1)
		l.latency = l.baseLatency
	case !saturated || queued > maxEndpointQueue:
	case l.rampingUp:
		l.set(now, l.value+1)
	default:
		l.set(now, l.value+1/l.value)
	}
}

// observeEnd adjusts the limit to the result of a request.
func (l *limit) observeEnd(now time.Time, r *schedule.Return, running int) {
	switch r.Result {
	case schedule.ResultRejected:
		l.rampingUp = false
		l.set(now, min(l.value, float64(running)))
	case schedule.ResultFinished:
		l.countCompletion(now)
		if r.FirstToken == 0 && running >= l.effective() {
			l.value = l.probe.sample(l.value, r.Elapsed)
		}
	}
}

// observeTransit records the time for which a grant was out beyond the call
// itself.
func (l *limit) observeTransit(d time.Duration) {
	l.transitTime += latencyWeight * (max(0, d.Seconds()) - l.transitTime)
}

func (l *limit) countCompletion(now time.Time) {
	if l.rateUpdatedAt.IsZero() {
		l.rateUpdatedAt = now
	}
	age := now.Sub(l.rateUpdatedAt).Seconds()
	l.rateUpdatedAt = now
	l.completionRate = l.completionRate*math.Exp(-age/rateAveragingTime.Seconds()) + 1/rateAveragingTime.Seconds()
}

// observeLoad adjusts the limit to the endpoint's report of its own load.
func (l *limit) observeLoad(now time.Time, report schedule.Load, running int) {
	l.memoryUsed = report.MemoryUsed
	l.loadFreshUntil = now.Add(loadLifetime)
	if report.MeasuredAt.Before(l.changedAt) {
		return
	}
	// The limit is raised only if at least three quarters of the granted requests
	// had reached the endpoint when the load was measured.
	switch {
	case report.Queued > maxEndpointQueue:
		l.rampingUp = false
		l.set(now, float64(report.Running+maxEndpointQueue))
	case report.Queued == 0 && running >= l.effective() && 4*report.Running >= 3*running:
		step := 1.0
		if l.rampingUp {
			step = max(1, l.value/2)
		}
		l.set(now, l.value+step)
	}
}

func (l *limit) set(now time.Time, value float64) {
	value = max(1, value)
	if int(value) != int(l.value) {
		l.changedAt = now
	}
	l.value = value
}
