package dispatch

import "time"

const (
	// firstSamples is the least number of calls in a round while the search
	// takes large steps, and fineSamples that with small ones.
	firstSamples = 16
	fineSamples  = 400
	// callsPerSlot is the least number of calls for each slot in a round.
	callsPerSlot = 4
	// restRounds is the number of rounds between two probes that failed.
	restRounds = 4
	// maxDoubts is the number of bad rounds in a row that are measured again
	// before the search for the order of magnitude ends: a stall of the
	// endpoint or of this router looks like queueing once, but seldom twice.
	maxDoubts = 2
	// A higher limit is kept if calls lengthen by less than this part of what
	// mere queueing would do, and a lower one if they shorten by more.
	firstHigher = 0.5
	fineHigher  = 0.7
	fineLower   = 0.9
)

// probe finds the number of calls that an endpoint runs at once before they
// slow each other down. It compares the mean time of a call at two limits:
// where a higher limit lengthens calls in proportion, the calls only queue.
type probe struct {
	settled  float64 // the limit to go back to
	mean     float64 // seconds a call took at the settled limit
	fine     bool    // the first sign of queueing has been seen
	doubts   int
	rest     int
	downward bool
	sum      float64
	count    int
}

// sample takes a whole call that ended while the endpoint was kept full, and
// returns the limit to use from now on.
func (p *probe) sample(limit float64, elapsed time.Duration) float64 {
	p.sum += elapsed.Seconds()
	p.count++
	samples := firstSamples
	if p.fine {
		samples = fineSamples
	}
	if p.count < max(samples, callsPerSlot*int(limit)) {
		return limit
	}
	mean := p.sum / float64(p.count)
	p.sum, p.count = 0, 0
	return p.round(limit, mean)
}

// round ends a round in which calls took the given mean time.
func (p *probe) round(limit, mean float64) float64 {
	if p.mean == 0 || limit == p.settled {
		p.settled, p.mean = limit, mean
		if p.rest > 0 {
			p.rest--
			return limit
		}
		return p.step(limit)
	}
	effect := (mean - p.mean) / p.mean / ((limit - p.settled) / p.settled)
	if !p.better(effect) {
		if !p.fine && p.doubts < maxDoubts {
			p.doubts++
			p.mean = 0
			return p.settled
		}
		p.fine = true
		p.downward = !p.downward
		p.rest = restRounds
		return p.settled
	}
	p.settled, p.mean, p.doubts = limit, mean, 0
	return p.step(limit)
}

// better reports whether the new limit is to be kept, given the part of
// queueing in the change of the time of a call.
func (p *probe) better(effect float64) bool {
	switch {
	case !p.fine:
		return effect < firstHigher
	case p.downward:
		return effect > fineLower
	default:
		return effect < fineHigher
	}
}

func (p *probe) step(limit float64) float64 {
	switch {
	case !p.fine:
		return limit + max(1, float64(int(limit/2)))
	case p.downward:
		return max(1, limit-max(1, float64(int(limit/8))))
	default:
		return limit + max(1, float64(int(limit/8)))
	}
}
