package admission

import "time"

const (
	// defaultSpeed is the prefill speed assumed for an engine until a speed is
	// stated or measured, in tokens per millisecond.
	defaultSpeed = 40.0
	// statedSpeedFactor is the ratio of an engine's prefill speed, while it
	// does nothing else, to its share of the pool's stated throughput.
	statedSpeedFactor = 2
	// minSpeed and maxSpeed bound the prefill speed, in tokens per millisecond.
	minSpeed, maxSpeed = 5.0, 400.0
	// sampleWeight is the weight of one sample in the moving averages.
	sampleWeight = 0.1
	// minSampleTokens is the minimum number of prompt tokens from which a speed
	// can be measured.
	minSampleTokens = 2000
	// initialSampleTokens is the number of prompt tokens with which the speed that was
	// assumed before the first sample counts as a sample of a pool.
	initialSampleTokens = 20_000
	// minPoolSamples is the number of samples from which the mean speed of a pool is
	// taken for that of endpoints without a sample.
	minPoolSamples = 20
	// maxInitialSpeed bounds the speed that counts as a sample. Operators may state a
	// throughput far above what the engines deliver, which the first samples would
	// not correct.
	maxInitialSpeed = 120.0
)

// prefillSamples are moving averages of the prompt tokens that were ahead of
// requests at the engines of a pool, and of the time that it took to process them,
// in milliseconds.
//
// Their quotient is the speed at which engines process prompts. The speed of an
// endpoint is a mean of quotients and is higher: prompts that are cached for other
// routers, or processed in part when a request is sent, make it begin soon after many
// tokens. That is right for the time to its first token, but not for the time for which
// the engine is busy with prompts.
type prefillSamples struct{ tokens, milliseconds float64 }

// add adds a sample. The speed is the one assumed before the first sample.
func (s *prefillSamples) add(speed, tokens float64, prefillTime time.Duration) {
	if s.tokens == 0 {
		s.tokens, s.milliseconds = initialSampleTokens, initialSampleTokens/min(speed, maxInitialSpeed)
	}
	s.tokens += sampleWeight * (tokens - s.tokens)
	s.milliseconds += sampleWeight * (milliseconds(prefillTime) - s.milliseconds)
}

// speed returns the measured speed in tokens per millisecond, and false if there are
// no samples.
func (s *prefillSamples) speed() (float64, bool) {
	if s.tokens == 0 {
		return 0, false
	}
	return min(max(s.tokens/s.milliseconds, minSpeed), maxSpeed), true
}

// setStatedSpeed derives the prefill speed from the stated throughput of the
// endpoint, in tokens per second, unless a speed has been measured.
func (e *endpoint) setStatedSpeed(stated float64) {
	if !e.speedMeasured && stated > 0 {
		e.speed = min(max(statedSpeedFactor*stated/1000, minSpeed), maxSpeed)
	}
}

// measureSpeed updates the prefill speed of the endpoint, and that of its pool, with
// the measured time to first token of a request.
func (l *pool) measureSpeed(r *running, timeToFirstToken time.Duration) {
	prefillTime := timeToFirstToken - firstTokenOverhead
	if r.tokensAhead < minSampleTokens || prefillTime <= 0 {
		return
	}
	e, tokens := r.endpoint, float64(r.tokensAhead)
	l.prefillSamples.add(e.speed, tokens, prefillTime)
	observed := min(max(tokens/milliseconds(prefillTime), minSpeed), maxSpeed)
	e.speed += sampleWeight * (observed - e.speed)
	e.speedMeasured = true
	if l.speed == 0 {
		l.speed = e.speed
	}
	l.speed += sampleWeight * (observed - l.speed)
	l.samples++
	l.assumeSpeed()
}

// assumeSpeed takes endpoints that this router has not measured for as fast as the
// mean of the others. A router of a large fleet sends few requests to each of many
// endpoints, and the stated throughput may be far from what they deliver.
func (l *pool) assumeSpeed() {
	if l.samples < minPoolSamples {
		return
	}
	for _, e := range l.endpoints {
		if !e.speedMeasured {
			e.speed = l.speed
		}
	}
}

// busyTime returns the time for which the engine of the endpoint is busy with the given
// number of prompt tokens. Until a speed has been measured, it is derived from the
// assumed one.
func (l *pool) busyTime(e *endpoint, tokens int64) time.Duration {
	speed := min(e.speed, maxInitialSpeed)
	if measured, ok := l.prefillSamples.speed(); ok {
		speed = measured
		if e.speedMeasured {
			speed = min(speed, e.speed)
		}
	}
	return time.Duration(float64(tokens) / speed * float64(time.Millisecond))
}
