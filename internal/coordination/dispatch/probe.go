package dispatch

import "time"

const (
	// probeSamples is the least number of calls in one round of a probe.
	probeSamples = 48
	// probeRounds is the number of calls per slot in one round.
	probeRounds = 6
	// probeRest is the number of rounds between two probes that failed.
	probeRest = 4
)

// probe finds the number of calls that an endpoint runs at once before they
// slow each other down. It compares the mean time of a call at two limits:
// where a higher limit lengthens calls in proportion, the calls only queue.
type probe struct {
	settled  float64 // the limit to go back to
	mean     float64 // seconds a call took at the settled limit
	rest     int
	downward bool
	sum      float64
	count    int
}

// sample takes a whole call that ran while the given number was out, and
// returns the limit to use from now on.
func (p *probe) sample(limit float64, elapsed time.Duration, running int) float64 {
	if running < int(limit) {
		return limit
	}
	p.sum += elapsed.Seconds()
	p.count++
	if p.count < max(probeSamples, probeRounds*int(limit)) {
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
	change := (limit - p.settled) / p.settled
	slower := (mean - p.mean) / p.mean
	// Half of the proportional effect tells queueing from running.
	queued := slower/change > 0.5
	if queued != p.downward {
		// Higher and only queueing, or lower and losing service.
		p.downward = !p.downward
		p.rest = probeRest
		return p.settled
	}
	p.settled, p.mean = limit, mean
	return p.step(limit)
}

func (p *probe) step(limit float64) float64 {
	if p.downward {
		return max(1, limit-max(1, float64(int(limit/8))))
	}
	return limit + max(1, float64(int(limit/4)))
}
