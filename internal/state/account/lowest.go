package account

import (
	"math"
	"time"
)

// lowWindow is how long a served counter counts as recent; a counter is
// forgotten after one to two windows.
const lowWindow = time.Second

// lowest keeps a minimum over a sliding window by two halves.
type lowest struct {
	current, previous float64
	since             time.Time
}

func newLowest() lowest {
	return lowest{current: math.Inf(1), previous: math.Inf(1)}
}

func (l *lowest) turn(now time.Time) {
	age := now.Sub(l.since)
	switch {
	case age < lowWindow:
	case age < 2*lowWindow:
		l.previous, l.current, l.since = l.current, math.Inf(1), now
	default:
		l.previous, l.current, l.since = math.Inf(1), math.Inf(1), now
	}
}

func (l *lowest) add(now time.Time, value float64) {
	l.turn(now)
	l.current = min(l.current, value)
}

func (l *lowest) value(now time.Time) (float64, bool) {
	l.turn(now)
	value := min(l.current, l.previous)
	if math.IsInf(value, 1) {
		return 0, false
	}
	return value, true
}
