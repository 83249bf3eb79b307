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
	maxMeasurementAge = peerLoadLifetime
)

// measurement is the mean of the samples that all routers have taken of a
// property of an endpoint. The older a sample is, the less it counts.
//
// Routers must judge an endpoint alike, since an organisation whose callers use
// many routers would otherwise be treated differently from one whose callers use
// a few. Each router therefore reports its own samples to the others.
type measurement struct {
	sum, weight float64
	// at is the instant of the last sample.
	at time.Time
	// unreported are this router's samples since its last Pulse.
	unreported schedule.Samples
}

// addOwn adds a sample that this router has taken.
func (m *measurement) addOwn(now time.Time, sample time.Duration) {
	s := schedule.Samples{Count: 1, Mean: sample}
	m.add(now, s)
	count := m.unreported.Count + 1
	m.unreported.Mean += (sample - m.unreported.Mean) / time.Duration(count)
	m.unreported.Count = count
}

// add adds samples that were taken until now.
func (m *measurement) add(now time.Time, s schedule.Samples) {
	if s.Count <= 0 {
		return
	}
	if passed := now.Sub(m.at); passed > 0 {
		remaining := math.Exp(-float64(passed) / float64(measurementTimeConstant))
		m.sum *= remaining
		m.weight *= remaining
		m.at = now
	}
	m.sum += float64(s.Count) * float64(s.Mean)
	m.weight += float64(s.Count)
}

// value returns the mean. It returns false if the last sample is too old.
func (m *measurement) value(now time.Time) (time.Duration, bool) {
	if m.weight <= 0 || now.Sub(m.at) > maxMeasurementAge {
		return 0, false
	}
	return time.Duration(m.sum / m.weight), true
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
