package dispatch

import "time"

const (
	// coarseSamples is the least number of calls in a round of the coarse search,
	// and fineSamples that in the fine search.
	coarseSamples = 16
	fineSamples   = 400
	// callsPerSlot is the least number of calls in a round for each slot.
	callsPerSlot = 4
	// pauseRounds is the number of rounds without a probe after a failed one.
	pauseRounds = 4
	// maxRemeasured is the number of consecutive slow rounds that are measured
	// again before the coarse search ends: a stall of the endpoint or of this
	// router looks like queueing, but is unlikely to happen repeatedly.
	maxRemeasured = 2
	// The effect of a change of limit is the relative change of a call's duration,
	// divided by the change that pure queueing would cause. A raised limit is
	// accepted if the effect is below coarseRaiseBelow in the coarse search, or
	// below fineRaiseBelow in the fine search. A lowered limit is accepted if the
	// effect is above fineLowerAbove.
	coarseRaiseBelow = 0.5
	fineRaiseBelow   = 0.7
	fineLowerAbove   = 0.9
)

// probe finds the number of calls that an endpoint runs at once before they
// slow each other down. It compares the mean duration of a call at two limits:
// where the duration grows in proportion to the limit, the additional calls
// only queue.
type probe struct {
	settledLimit float64 // the limit to return to
	settledMean  float64 // mean seconds of a call at the settled limit
	fineSearch   bool    // queueing has been found and steps are small
	remeasured   int     // consecutive slow rounds that were measured again
	pauseLeft    int     // rounds until the next probe
	downward     bool
	sum          float64
	count        int
}

// sample records the duration of a whole call that ended while the endpoint was
// full, and returns the limit to use from now on.
func (p *probe) sample(limit float64, elapsed time.Duration) float64 {
	p.sum += elapsed.Seconds()
	p.count++
	samples := coarseSamples
	if p.fineSearch {
		samples = fineSamples
	}
	if p.count < max(samples, callsPerSlot*int(limit)) {
		return limit
	}
	mean := p.sum / float64(p.count)
	p.sum, p.count = 0, 0
	return p.endRound(limit, mean)
}

// endRound evaluates a round of calls with the given mean duration in seconds.
func (p *probe) endRound(limit, mean float64) float64 {
	if p.settledMean == 0 || limit == p.settledLimit {
		p.settledLimit, p.settledMean = limit, mean
		if p.pauseLeft > 0 {
			p.pauseLeft--
			return limit
		}
		return p.nextLimit(limit)
	}
	effect := (mean - p.settledMean) / p.settledMean / ((limit - p.settledLimit) / p.settledLimit)
	if !p.accept(effect) {
		if !p.fineSearch && p.remeasured < maxRemeasured {
			p.remeasured++
			p.settledMean = 0
			return p.settledLimit
		}
		p.fineSearch = true
		p.downward = !p.downward
		p.pauseLeft = pauseRounds
		return p.settledLimit
	}
	p.settledLimit, p.settledMean, p.remeasured = limit, mean, 0
	return p.nextLimit(limit)
}

// accept reports whether the new limit is to be kept, given the effect of the
// change.
func (p *probe) accept(effect float64) bool {
	switch {
	case !p.fineSearch:
		return effect < coarseRaiseBelow
	case p.downward:
		return effect > fineLowerAbove
	default:
		return effect < fineRaiseBelow
	}
}

func (p *probe) nextLimit(limit float64) float64 {
	switch {
	case !p.fineSearch:
		return limit + max(1, float64(int(limit/2)))
	case p.downward:
		return max(1, limit-max(1, float64(int(limit/8))))
	default:
		return limit + max(1, float64(int(limit/8)))
	}
}
