package cost

import (
	"math"
	"time"
)

const (
	// MaxKeys is the maximum number of keys that a Model holds.
	MaxKeys = 4096
	// partKeys is the part of MaxKeys that holds keys with a shared prompt part. These
	// are the most numerous ones and must not displace those of organisations.
	partKeys = MaxKeys * 3 / 4
	// keyLifetime is the time after which a key without an observation is forgotten at
	// the earliest.
	keyLifetime = 10 * time.Minute
	// minLengthSamples is the number of observations from which the statistics of a key
	// are used.
	minLengthSamples = 12
	// maxLengthSamples bounds the weight of old observations, so that a key follows a
	// change within about as many requests.
	maxLengthSamples = 100
	// slopePrior is the weight of the assumption that an answer is as long as the hint
	// times a constant, in units of the sum of squares of the hint's logarithm. It equals
	// eight observations of hints with a spread of 0.5.
	slopePrior = 2.0
	// initialSpread is the assumed spread before the first observation, and spreadPrior
	// its weight in observations.
	initialSpread, spreadPrior = 0.5, 4.0
	// maxDeviation bounds the deviation of an observation from its prediction, in units
	// of the spread. A single answer that a caller lets run to its limit would otherwise
	// move a key of few observations by a factor.
	maxDeviation = 3.0
	// maxTokens bounds the lengths that are believed. It is far above what engines
	// generate for a request.
	maxTokens = 1e7
	// certainDeviation is the number of standard errors from which a prediction differs
	// from the hint with certainty, and certainFactor the factor by which it must differ.
	certainDeviation, certainFactor = 3.0, 1.25
)

// Key describes a request. Requests with equal fields except Hint are counted together.
type Key struct {
	Pool, Organisation, Class string
	// Part is the last prompt part that other requests share; zero if there is none.
	Part uint64
	// Hint is the length of the answer that the caller expects, in tokens; zero if the
	// caller states none.
	Hint float64
}

// Estimate is a prediction of the length of an answer, in tokens.
type Estimate struct {
	// Output is the median, and Spread the standard deviation of the logarithm.
	Output, Spread float64
	// Samples is the number of observations behind the estimate; zero if it is the hint.
	Samples float64
	// Uncached is the mean number of prompt tokens that the endpoint had to process, and
	// SlotTime the mean time for which the request occupied a slot; zero if unknown.
	Uncached float64
	SlotTime time.Duration
	// Differs is set if the prediction differs from the hint with certainty.
	Differs bool
}

// Mean returns the mean length of the answer, of which half exceed Output. The spread
// counts up to 1: above it the mean is determined by a few answers.
func (e Estimate) Mean() float64 {
	s := min(e.Spread, 1)
	return e.Output * math.Exp(s*s/2)
}

// statisticsKey identifies the statistics of requests. Requests with and without a hint
// have separate ones.
type statisticsKey struct {
	pool, organisation, class string
	part                      uint64
	hinted                    bool
}

// levels are the keys of a request from the most to the least specific one.
func (k Key) levels() [3]statisticsKey {
	hinted := k.Hint > 0
	return [3]statisticsKey{
		{k.Pool, k.Organisation, k.Class, k.Part, hinted},
		{k.Pool, k.Organisation, k.Class, 0, hinted},
		{k.Pool, "", k.Class, 0, hinted},
	}
}

// Model predicts the length of answers from the caller's hint and from earlier answers to
// requests of the same organisation, class and shared prompt part. It uses the most
// specific of these with enough observations, and the hint if there is none.
type Model struct{ parts, others generations }

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{parts: generations{limit: partKeys}, others: generations{limit: MaxKeys - partKeys}}
}

func (m *Model) store(k statisticsKey) *generations {
	if k.part != 0 {
		return &m.parts
	}
	return &m.others
}

// Predict returns the expected length of the answer to a request.
func (m *Model) Predict(k Key) Estimate {
	hint := logTokens(k.Hint)
	for _, level := range k.levels() {
		if s := m.store(level).get(level); s != nil && s.weight >= minLengthSamples {
			predicted, spread := s.predict(hint), s.spread()
			bias := math.Abs(predicted - hint)
			return Estimate{
				Output: math.Exp(predicted), Spread: spread, Samples: s.weight, Uncached: s.uncached, SlotTime: time.Duration(s.slotTime),
				Differs: k.Hint > 0 && bias > math.Log(certainFactor) && bias > certainDeviation*spread/math.Sqrt(s.weight),
			}
		}
	}
	return Estimate{Output: min(max(k.Hint, 0), maxTokens), Spread: initialSpread}
}

// Observe records that the answer to a request had the given number of tokens.
func (m *Model) Observe(now time.Time, k Key, tokens float64) {
	if !(tokens > 0) {
		return
	}
	for i, level := range k.levels() {
		if i == 0 && k.Part == 0 {
			continue // equal to the next level
		}
		m.store(level).add(now, level).addLength(logTokens(k.Hint), logTokens(tokens))
	}
}

// ObserveUse records the prompt tokens that the endpoint had to process for a request, and
// the time for which it occupied a slot. It must follow Observe for the same request.
func (m *Model) ObserveUse(k Key, uncached float64, slotTime time.Duration) {
	for i, level := range k.levels() {
		if i == 0 && k.Part == 0 {
			continue // equal to the next level
		}
		if s := m.store(level).get(level); s != nil {
			s.uncached += (uncached - s.uncached) / s.weight
			s.slotTime += (float64(slotTime) - s.slotTime) / s.weight
		}
	}
}

// Keys returns the number of keys that the model holds.
func (m *Model) Keys() int { return m.parts.len() + m.others.len() }

// logTokens returns the logarithm of a number of tokens, which counts as one between 1 and
// maxTokens.
func logTokens(tokens float64) float64 { return math.Log(min(max(tokens, 1), maxTokens)) }

// statistics are the decaying moments of the logarithms of hints and lengths.
//
// The prediction is a line through the means. Its slope is near 1 if answers are as long
// as the hint times a constant, and lower if the hints vary more than the answers.
type statistics struct {
	weight                         float64
	hint, length                   float64
	hintVariance, lengthVariance   float64
	covariance, uncached, slotTime float64
}

func (s *statistics) slope() float64 {
	b := (s.covariance*s.weight + slopePrior) / (s.hintVariance*s.weight + slopePrior)
	return min(max(b, 0), 1)
}

func (s *statistics) predict(hint float64) float64 { return s.length + s.slope()*(hint-s.hint) }

func (s *statistics) spread() float64 {
	b := s.slope()
	residual := max(s.lengthVariance-2*b*s.covariance+b*b*s.hintVariance, 0)
	return math.Sqrt((residual*s.weight + initialSpread*initialSpread*spreadPrior) / (s.weight + spreadPrior))
}

func (s *statistics) addLength(hint, length float64) {
	if s.weight >= minLengthSamples {
		predicted, limit := s.predict(hint), maxDeviation*s.spread()
		length = min(max(length, predicted-limit), predicted+limit)
	}
	s.weight = min(s.weight+1, maxLengthSamples)
	share := 1 / s.weight
	dh, dl := hint-s.hint, length-s.length
	s.hint += dh * share
	s.length += dl * share
	s.hintVariance = (1 - share) * (s.hintVariance + dh*dh*share)
	s.lengthVariance = (1 - share) * (s.lengthVariance + dl*dl*share)
	s.covariance = (1 - share) * (s.covariance + dh*dl*share)
}

// generations holds statistics in two generations of half the limit. When the newer one is
// full or keyLifetime has passed, the older one is forgotten. A key that is observed
// moves to the newer one.
type generations struct {
	limit        int
	newer, older map[statisticsKey]*statistics
	rotateAt     time.Time
}

func (g *generations) len() int { return len(g.newer) + len(g.older) }

func (g *generations) get(k statisticsKey) *statistics {
	if s := g.newer[k]; s != nil {
		return s
	}
	return g.older[k]
}

// add returns the statistics of a key, which it adds if they are missing.
func (g *generations) add(now time.Time, k statisticsKey) *statistics {
	if s := g.newer[k]; s != nil && now.Before(g.rotateAt) {
		return s
	}
	if g.newer == nil || len(g.newer) >= g.limit/2 || !now.Before(g.rotateAt) {
		g.newer, g.older = make(map[statisticsKey]*statistics), g.newer
		g.rotateAt = now.Add(keyLifetime)
	}
	s := g.older[k]
	if s == nil {
		s = &statistics{}
	}
	delete(g.older, k)
	g.newer[k] = s
	return s
}
