package entrypoint

import (
	"math"
	"time"
)

const (
	// busyPeriod is the time constant of the mean that a Meter reports.
	busyPeriod = time.Second
	// busyWhenShort is the use that counts at least while the process runs late, since it
	// lacks processor time, whatever it has used, or refuses requests for lack of memory.
	busyWhenShort = 0.95
)

// Meter computes the part of a router's processor time that is in use.
type Meter struct {
	// Capacity is the processor capacity of the router, in cores.
	Capacity float64

	at   time.Time
	used time.Duration
	busy float64
}

// Sample adds the processor time that the process has used since its start, the part of
// the new connections that it rejects, and whether it runs late or is short of memory, and
// returns the mean use of the last second: 0 to 1, more if the router rejects connections.
// Processor time that cannot be read is zero.
func (m *Meter) Sample(now time.Time, used time.Duration, rejected float64, short bool) float64 {
	elapsed := now.Sub(m.at)
	if m.at.IsZero() || elapsed <= 0 {
		m.at, m.used = now, used
		return m.busy
	}
	use := 0.0
	if m.Capacity > 0 {
		use = min(max(float64(used-m.used)/(m.Capacity*float64(elapsed)), 0), 1)
	}
	if short {
		use = max(use, busyWhenShort)
	}
	m.at, m.used = now, used
	m.busy += (use + rejected - m.busy) * (1 - math.Exp(-float64(elapsed)/float64(busyPeriod)))
	return m.busy
}
