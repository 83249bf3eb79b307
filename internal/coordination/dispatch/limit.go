package dispatch

import (
	"math"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// initialLimit is where the search for an endpoint's limit begins.
	initialLimit = 4
	// memoryHigh is the used fraction of an endpoint's memory above which it
	// gets no further request.
	memoryHigh = 0.97
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.2
	// baseRise is how much of a higher latency the base takes over with each
	// sample, so that an old low value is forgotten in time.
	baseRise = 0.001
	// rateTime is the time over which the rate of completions is averaged.
	rateTime = 2 * time.Second
	// aheadTransits is the number of transits for which calls are handed out
	// ahead, so that an endpoint has the next one when a slot frees.
	aheadTransits = 3
	// loadFresh is how long an endpoint's word on its queue stands.
	loadFresh = 10 * time.Second
	// queueAllowed is the number of requests that may stand in the
	// endpoint's own queue, so that it never runs dry.
	queueAllowed = 1
)

// limit learns how many requests an endpoint runs well at once.
//
// For an engine that streams it estimates the engine's queue by Little's law:
// the rate of completions times the time to first token beyond its base. For
// other endpoints probe compares the time that whole calls take. What the
// endpoint says of its own queue goes before both.
type limit struct {
	value   float64
	probing bool // the limit grows fast until the first sign of a queue
	probe   probe
	base    float64 // seconds
	latency float64 // seconds
	rate    float64 // completions a second
	ratedAt time.Time
	// transit is the smoothed time in seconds that a grant and its return
	// are on the way.
	transit float64
	memory  float64
	// loadedUntil is the instant until which the endpoint's last word on its
	// queue stands, so that the time to first token is not asked.
	loadedUntil time.Time
	// settledAt is the instant of the last change; loads measured before say
	// nothing of the present limit.
	settledAt time.Time
}

func newLimit() limit { return limit{value: initialLimit, probing: true} }

// room is the number of requests that may be added.
func (l *limit) room(running int) int {
	if l.memory > memoryHigh && running > 0 {
		return 0
	}
	return max(0, l.whole()-running)
}

// whole is the limit with what is handed out ahead: about the completions of a
// few transits, which is nothing for long calls.
func (l *limit) whole() int {
	return int(l.value + aheadTransits*l.rate*l.transit + 0.5*min(1, l.rate*l.transit))
}

// atLeast raises the limit to what the endpoint is known to run.
func (l *limit) atLeast(running int) { l.value = max(l.value, float64(running)) }

// began takes the time to first token of a request.
func (l *limit) began(now time.Time, first time.Duration, running int) {
	seconds := first.Seconds()
	if l.base == 0 {
		l.base, l.latency = seconds, seconds
	}
	l.latency += latencyWeight * (seconds - l.latency)
	l.base = min(seconds, l.base+baseRise*(seconds-l.base))
	queued := l.rate * max(0, l.latency-l.base)
	saturated := running >= l.whole()
	switch {
	case now.Before(l.loadedUntil):
	case queued > 2*queueAllowed+1:
		l.probing = false
		l.set(now, l.value-1)
		l.latency = l.base
	case !saturated || queued > queueAllowed:
	case l.probing:
		l.set(now, l.value+1)
	default:
		l.set(now, l.value+1/l.value)
	}
}

// ended takes the end of a request.
func (l *limit) ended(now time.Time, r *schedule.Return, running int) {
	switch r.Result {
	case schedule.ResultRejected:
		l.probing = false
		l.set(now, min(l.value, float64(running)))
	case schedule.ResultFinished:
		l.completed(now)
		if r.FirstToken == 0 && running >= l.whole() {
			l.value = l.probe.sample(l.value, r.Elapsed)
		}
	}
}

// travelled takes the time that a grant was out beyond the call itself.
func (l *limit) travelled(d time.Duration) {
	l.transit += latencyWeight * (max(0, d.Seconds()) - l.transit)
}

func (l *limit) completed(now time.Time) {
	if l.ratedAt.IsZero() {
		l.ratedAt = now
	}
	age := now.Sub(l.ratedAt).Seconds()
	l.ratedAt = now
	l.rate = l.rate*math.Exp(-age/rateTime.Seconds()) + 1/rateTime.Seconds()
}

// load takes what the endpoint says of itself.
func (l *limit) load(now time.Time, report schedule.Load, running int) {
	l.memory = report.MemoryUsed
	l.loadedUntil = now.Add(loadFresh)
	if report.MeasuredAt.Before(l.settledAt) {
		return
	}
	switch {
	case report.Queued > queueAllowed:
		l.probing = false
		l.set(now, float64(report.Running+queueAllowed))
	case report.Queued == 0 && running >= l.whole() && 4*report.Running >= 3*running:
		step := 1.0
		if l.probing {
			step = max(1, l.value/2)
		}
		l.set(now, l.value+step)
	}
}

func (l *limit) set(now time.Time, value float64) {
	value = max(1, value)
	if int(value) != int(l.value) {
		l.settledAt = now
	}
	l.value = value
}
