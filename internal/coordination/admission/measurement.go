package admission

import (
	"math"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// measurementTimeConstant is the time constant with which the weight of a
	// sample falls.
	measurementTimeConstant = 500 * time.Millisecond
	// maxMeasurementAge is the age of the last sample from which a measurement
	// says nothing about the endpoint any more. It exceeds the time between two
	// Pulse messages of a router in a fleet of a hundred.
	maxMeasurementAge = 1500 * time.Millisecond
)

// timing is the timing of an endpoint's streams: the mean interval between two
// events, and the mean of the longest gaps between two parts of an answer.
type timing struct{ eventInterval, longestGap time.Duration }

// saturation returns how slow the streams are in proportion to the slowest
// accepted ones. From 1 on the endpoint should receive no further requests.
func (t timing) saturation() float64 {
	return max(float64(t.longestGap)/float64(maxEventGap), float64(t.eventInterval)/float64(maxEventInterval))
}

// measurement is the mean of the samples that all routers have taken of the
// timing of an endpoint's streams. The older a sample is, the less it counts.
//
// Routers must judge an endpoint alike, since an organisation whose callers use
// many routers would otherwise be treated differently from one whose callers use
// a few. Each router therefore reports its own samples to the others.
type measurement struct {
	// weight is the sum of the weights of the samples, and intervals and gaps are
	// the weighted sums of their values.
	weight, intervals, gaps float64
	// at is the instant of the last sample.
	at time.Time
	// unreported are this router's samples since its last Pulse.
	unreported schedule.Samples
}

// addOwn adds a sample that this router has taken.
func (m *measurement) addOwn(now time.Time, eventInterval, longestGap time.Duration) {
	m.add(now, schedule.Samples{Count: 1, EventInterval: eventInterval, LongestGap: longestGap})
	u := &m.unreported
	u.Count++
	u.EventInterval += (eventInterval - u.EventInterval) / time.Duration(u.Count)
	u.LongestGap += (longestGap - u.LongestGap) / time.Duration(u.Count)
}

// add adds samples that were taken until now.
func (m *measurement) add(now time.Time, s schedule.Samples) {
	if s.Count <= 0 {
		return
	}
	if passed := now.Sub(m.at); passed > 0 {
		remaining := math.Exp(-float64(passed) / float64(measurementTimeConstant))
		m.weight *= remaining
		m.intervals *= remaining
		m.gaps *= remaining
		m.at = now
	}
	m.weight += float64(s.Count)
	m.intervals += float64(s.Count) * float64(s.EventInterval)
	m.gaps += float64(s.Count) * float64(s.LongestGap)
}

// value returns the mean. It returns false if the last sample is too old.
func (m *measurement) value(now time.Time) (timing, bool) {
	if m.weight <= 0 || now.Sub(m.at) > maxMeasurementAge {
		return timing{}, false
	}
	return timing{time.Duration(m.intervals / m.weight), time.Duration(m.gaps / m.weight)}, true
}

// age returns the age of the last sample, for the log.
func (m *measurement) age(now time.Time) string {
	if m.at.IsZero() {
		return "none"
	}
	return now.Sub(m.at).Round(time.Millisecond).String()
}

// takeUnreported returns this router's samples since the last call.
func (m *measurement) takeUnreported() schedule.Samples {
	s := m.unreported
	m.unreported = schedule.Samples{}
	return s
}
