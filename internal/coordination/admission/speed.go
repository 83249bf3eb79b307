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
	// assumed before the first sample counts as a sample.
	initialSampleTokens = 20_000
	// maxInitialSpeed bounds the speed that counts as a sample. Operators may state a
	// throughput far above what the engines deliver, which the first samples would
	// not correct.
	maxInitialSpeed = 120.0
)

// prefillSamples are moving averages of the prompt tokens that were ahead of
// requests at an engine and of the time that it took to process them, in
// milliseconds.
//
// The speed is the quotient of the averages. The mean of the quotients of single
// requests would be too high: what other routers have sent, and what is cached for
// them, makes some requests begin soon after many tokens, and these quotients
// outweigh all others.
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
	if _, measured := e.prefillSamples.speed(); !measured && stated > 0 {
		e.speed = min(max(statedSpeedFactor*stated/1000, minSpeed), maxSpeed)
	}
}

// measureSpeed updates the prefill speed with the measured time to first token
// of a request.
func (e *endpoint) measureSpeed(r *running, timeToFirstToken time.Duration) {
	prefillTime := timeToFirstToken - firstTokenOverhead
	if r.tokensAhead < minSampleTokens || prefillTime <= 0 {
		return
	}
	e.prefillSamples.add(e.speed, float64(r.tokensAhead), prefillTime)
	e.speed, _ = e.prefillSamples.speed()
}
