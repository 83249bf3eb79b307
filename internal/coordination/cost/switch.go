package cost

import (
	"math"
	"slices"
	"time"
)

const (
	// switchInterval is the time between two evaluations of a Switch.
	switchInterval = time.Second
	// onDifference and offDifference are the factors between the paces of slow and of fast
	// engines above which a Switch is turned on, and below which it is turned off.
	onDifference, offDifference = 1.25, 1.15
	// onEvaluations and offEvaluations are the numbers of consecutive evaluations after
	// which a Switch changes. Being on longer than needed costs little, since the
	// difference then counts little.
	onEvaluations, offEvaluations = 3, 20
	// comparedShare is the part of the engines, at each end, that is left out of the
	// comparison, since the extremes of many measurements differ by chance.
	comparedShare = 0.1
	// minSwitchBuckets is the number of values from which the pace of an engine is
	// compared.
	minSwitchBuckets = 8
	// certainErrors is the number of standard errors that is subtracted from a difference.
	certainErrors = 2.0
)

// Switch decides whether the engines of a pool differ so much that choices depend on
// their pace. While it is off, choices must be those of a router without this package.
type Switch struct {
	on     bool
	streak int
	nextAt time.Time
	// difference is the last result of an evaluation, as a factor.
	difference float64
}

// On reports whether choices depend on the pace of engines.
func (s *Switch) On() bool { return s.on }

// Difference returns the factor between slow and fast engines, less its uncertainty, at the
// last evaluation; zero before the first.
func (s *Switch) Difference() float64 { return s.difference }

// Due reports whether the endpoints should be compared again.
func (s *Switch) Due(now time.Time) bool { return !now.Before(s.nextAt) }

// Evaluate compares the endpoints of a pool when that is Due. Slots is set if the
// configuration states the slots of all of them. It reports whether the switch has
// changed.
func (s *Switch) Evaluate(now time.Time, paces []*Pace, slots bool) (changed bool) {
	s.nextAt = now.Add(switchInterval)
	s.difference = difference(now, paces)
	evaluations, contrary := onEvaluations, slots && s.difference > onDifference
	if s.on {
		evaluations, contrary = offEvaluations, s.difference < offDifference
	}
	switch {
	case s.on && !slots:
		s.streak = evaluations
	case contrary:
		s.streak++
	default:
		s.streak = 0
	}
	if s.streak < evaluations {
		return false
	}
	s.on, s.streak = !s.on, 0
	return true
}

// difference returns the factor between the paces of slow and of fast engines that is left
// after the uncertainty of the measurements, and 1 if too few engines are known.
func difference(now time.Time, paces []*Pace) float64 {
	engines := make([]float64, 0, len(paces))
	errs := make([]float64, 0, len(paces))
	for _, e := range paces {
		if e.count >= minSwitchBuckets && now.Sub(e.sampledAt) < maxPaceAge {
			engines = append(engines, e.engine)
			errs = append(errs, e.err)
		}
	}
	if len(engines) < 2 {
		return 1
	}
	slices.Sort(engines)
	slices.Sort(errs)
	out := int(comparedShare * float64(len(engines)))
	span := engines[len(engines)-1-out] - engines[out] - certainErrors*errs[len(errs)/2]
	return math.Exp(max(span, 0))
}
