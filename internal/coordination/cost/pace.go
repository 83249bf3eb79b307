package cost

import (
	"math"
	"slices"
	"time"
)

const (
	// paceBuckets is the number of values from which the speed of an engine is taken, and
	// bucketTime the time over which the samples of one value are taken. A moment of
	// slowness of 0.6 s is in three values at the most.
	paceBuckets = 16
	bucketTime  = 500 * time.Millisecond
	// minBuckets is the number of values from which the pace of an engine is used.
	minBuckets = 4
	// paceQuantile is the quantile of the values that is taken for the speed of an engine.
	// Moments only make engines slower, so that it is below the median.
	paceQuantile = 0.4
	// levelStep is the step by which one sample moves the level of the pool, as a
	// logarithm. With 50 samples a second the level follows a change by half within a
	// second.
	levelStep = 0.02
	// momentTimeConstant is the time constant with which a sample loses its weight for the
	// momentary pace. momentLifetime is when it has lost it all: a moment of slowness
	// lasts for 0.6 s, and reports of it come up to a second late.
	momentTimeConstant = 500 * time.Millisecond
	momentLifetime     = 2 * time.Second
	// momentTime is the time for which an engine is expected to stay in a moment of
	// slowness that shows in its samples.
	momentTime = 600 * time.Millisecond
	// maxSampleInterval bounds the interval of a sample, so that a malformed report moves no
	// estimate to where expected ends exceed what a duration holds.
	maxSampleInterval = time.Minute
	// minMoment is the logarithm of the factor up to which an endpoint is not in a moment of
	// slowness. Samples vary by that much.
	minMoment = 0.1
	// minLoadFactor is the lower bound of the factor by which an engine with few requests is
	// faster.
	minLoadFactor = 0.5
	// loadWeight is the weight of one sample in the moving averages by which the effect
	// of running requests on the pace is measured, and maxLoadSlope bounds the effect of one
	// request, as a logarithm.
	loadWeight, maxLoadSlope = 0.01, 0.1
	// maxPaceAge is the age of the last sample from which the pace of an engine is not used
	// to compare engines. At low load slow engines get no requests while the Switch is
	// on; then it is turned off, and they are measured again.
	maxPaceAge = 10 * time.Minute
)

// Pace is the time that an endpoint takes to decode an event, in proportion to the others
// of its pool at equal load. A slow estimate represents the engine, a fast one a moment of
// slowness. All values are logarithms.
type Pace struct {
	// factor is the factor of which engine is the logarithm; zero until it is known. These
	// fields are read for each request, the others only for samples.
	factor float64
	// momentSum and momentWeight are the decaying sums of the fast estimate.
	momentSum, momentWeight float64
	sampledAt               time.Time
	// values are the means of the last periods with samples, in a ring, of which count
	// are set; next is the place of the next one.
	values      [paceBuckets]float64
	count, next int
	// sum and weight are those of the current period, which began at began.
	sum, weight float64
	began       time.Time
	// engine is the slow estimate and err its standard error.
	engine, err float64
}

// PoolPace is the decode time of an event in a pool.
type PoolPace struct {
	// level is the logarithm of the milliseconds that an engine of mean speed takes for
	// an event now, at a mean number of requests.
	level float64
	known bool
	// interval is the interval that level is the logarithm of.
	interval time.Duration
	// loadSlope is the effect of one more request on the logarithm of the interval.
	loadSlope float64
	// requests is the mean number of requests at the samples; variance and covariance
	// are those of it and with the logarithm of the interval.
	requests, variance, covariance float64
}

// Observe records samples: the mean interval between events of the streams of an endpoint
// that runs the given number of requests.
func (p *PoolPace) Observe(now time.Time, e *Pace, samples int, interval time.Duration, requests int) {
	if samples <= 0 || interval <= 0 {
		return
	}
	value := math.Log(max(float64(min(interval, maxSampleInterval))/float64(time.Millisecond), 0.1))
	weight := min(float64(samples), 8)
	if !p.known {
		p.level, p.known, p.requests = value, true, float64(requests)
	}
	excess := float64(requests) - p.requests
	residual := value - e.engine - p.level
	p.requests += loadWeight * excess
	p.variance += loadWeight * (excess*excess - p.variance)
	p.covariance += loadWeight * (excess*min(max(residual, -1), 1) - p.covariance)
	p.loadSlope = min(max(p.covariance/(p.variance+1), 0), maxLoadSlope)
	atMeanLoad := value - p.loadSlope*excess
	// The level is the same quantile of the samples as that by which engines are judged.
	// A mean would rise above it in moments of slowness, again and again.
	if atMeanLoad-e.engine > p.level {
		p.level += levelStep * weight * paceQuantile
	} else {
		p.level -= levelStep * weight * (1 - paceQuantile)
	}
	p.setInterval()
	e.add(now, atMeanLoad-p.level, weight)
}

func (p *PoolPace) setInterval() {
	p.interval = time.Duration(math.Exp(p.level) * float64(time.Millisecond))
}

// add adds samples of the endpoint's logarithmic pace.
func (e *Pace) add(now time.Time, value, weight float64) {
	if remaining := e.momentShare(now); remaining < 1 {
		e.momentSum *= remaining
		e.momentWeight *= remaining
	}
	e.momentSum += weight * (value - e.engine)
	e.momentWeight += weight
	e.sampledAt = now
	if e.weight > 0 && now.Sub(e.began) >= bucketTime {
		e.closePeriod()
	}
	if e.weight == 0 {
		e.began = now
	}
	e.sum += weight * value
	e.weight += weight
}

// momentShare returns the weight that samples up to the last one still have for the
// momentary pace.
func (e *Pace) momentShare(now time.Time) float64 {
	age := now.Sub(e.sampledAt)
	if age >= momentLifetime {
		return 0
	}
	return math.Exp(-float64(max(age, 0)) / float64(momentTimeConstant))
}

func (e *Pace) closePeriod() {
	e.values[e.next] = e.sum / e.weight
	e.next = (e.next + 1) % paceBuckets
	e.count = min(e.count+1, paceBuckets)
	e.sum, e.weight = 0, 0
	if e.count < minBuckets {
		return
	}
	sorted := e.values
	s := sorted[:e.count]
	slices.Sort(s)
	e.engine = s[int(paceQuantile*float64(e.count))]
	e.factor = math.Exp(e.engine)
	// The half of the values around the median spans 1.35 standard deviations.
	spread := (s[e.count*3/4] - s[e.count/4]) / 1.35
	e.err = spread / math.Sqrt(float64(e.count))
}

// shift moves the scale of the endpoint's values.
func (e *Pace) shift(by float64) {
	for i := range e.values[:e.count] {
		e.values[i] += by
	}
	e.sum += by * e.weight
	if e.known() {
		e.engine += by
		e.factor = math.Exp(e.engine)
	}
}

// known reports whether the slow estimate can be used.
func (e *Pace) known() bool { return e.factor > 0 }

// Engine returns the time that the engine takes for an event in proportion to one of mean
// speed, and its standard error as a fraction; 1 and false if it is not known yet.
func (e *Pace) Engine() (relative, err float64, known bool) {
	if !e.known() {
		return 1, 0, false
	}
	return e.factor, e.err, true
}

// Moment returns the factor by which the endpoint is slower than usual at the moment, at
// least 1. It is 1 when its last sample is older than momentLifetime.
func (e *Pace) Moment(now time.Time) float64 {
	if !e.known() || e.momentSum <= minMoment*e.momentWeight || now.Sub(e.sampledAt) >= momentLifetime {
		return 1
	}
	return math.Exp(e.momentShare(now) * e.momentSum / e.momentWeight)
}

// Interval returns the expected time between two events of a stream at the endpoint if it
// runs the given number of requests; zero if nothing is known. An endpoint without samples is
// taken for one of mean speed.
func (p *PoolPace) Interval(e *Pace, requests int) time.Duration {
	if !p.known {
		return 0
	}
	engine := 1.0
	if e.known() {
		engine = e.factor
	}
	load := max(1+p.loadSlope*(float64(requests)-p.requests), minLoadFactor)
	return time.Duration(float64(p.interval) * engine * load)
}

// MeanInterval returns the time between two events at an engine of mean speed and load.
func (p *PoolPace) MeanInterval() time.Duration { return p.interval }

// MomentDelay returns the time by which a moment of slowness delays a request that is
// started now. It is at most momentTime, since the moment ends.
func (e *Pace) MomentDelay(now time.Time) time.Duration {
	return time.Duration((1 - 1/e.Moment(now)) * float64(momentTime))
}

// Centre makes the mean of the slow estimates zero, so that estimates of endpoints that
// have no samples for a while remain comparable.
func (p *PoolPace) Centre(paces []*Pace) {
	sum, count := 0.0, 0
	for _, e := range paces {
		if e.known() {
			sum += e.engine
			count++
		}
	}
	if count == 0 {
		return
	}
	mean := sum / float64(count)
	p.level += mean
	p.setInterval()
	for _, e := range paces {
		e.shift(-mean)
	}
}
