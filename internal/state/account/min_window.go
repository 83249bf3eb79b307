package account

import (
	"math"
	"time"
)

// windowLength is the minimum time for which a served counter counts as recent.
// A counter is discarded after one to two windows.
const windowLength = time.Second

// minWindow approximates the minimum over a sliding window by the minima of the
// current and the previous window.
type minWindow struct {
	current, previous float64
	startedAt         time.Time
}

func newMinWindow() minWindow {
	return minWindow{current: math.Inf(1), previous: math.Inf(1)}
}

// rotate starts a new window if the current one has ended.
func (w *minWindow) rotate(now time.Time) {
	age := now.Sub(w.startedAt)
	switch {
	case age < windowLength:
	case age < 2*windowLength:
		w.previous, w.current, w.startedAt = w.current, math.Inf(1), now
	default:
		w.previous, w.current, w.startedAt = math.Inf(1), math.Inf(1), now
	}
}

func (w *minWindow) add(now time.Time, value float64) {
	w.rotate(now)
	w.current = min(w.current, value)
}

func (w *minWindow) value(now time.Time) (float64, bool) {
	w.rotate(now)
	value := min(w.current, w.previous)
	if math.IsInf(value, 1) {
		return 0, false
	}
	return value, true
}
