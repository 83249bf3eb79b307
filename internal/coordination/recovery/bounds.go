package recovery

import (
	"math"
	"time"
)

const (
	// minInterval is the shortest time between two uses of a slot: the rule counts the
	// requests of any second.
	minInterval = time.Second
	// intervalMargin is added to the time between two uses of a slot, since requests
	// may take differently long to reach the endpoint.
	intervalMargin = 50 * time.Millisecond
	// maxInterval bounds the time between two uses of a slot for rates close to zero.
	maxInterval = time.Hour
	// maxSlots bounds the memory and the processor time of an endpoint's slots. Rates
	// above it are not used in full.
	maxSlots = 1024
)

// Bounds state how far the requests to a cold endpoint may exceed the stated rate.
type Bounds struct {
	// Overage is the factor by which the requests of one second may exceed the rate, and
	// Tolerance the number of requests by which they may exceed that.
	Overage, Tolerance float64
}

// The bounds of the requirement, for settings that state none.
const defaultOverage, defaultTolerance = 1.5, 5

// NewBounds returns the bounds that settings state: the defaults where they state none
// (nil), and no more than the rate itself where they state a negative number.
func NewBounds(overage, tolerance *float64) Bounds {
	b := Bounds{Overage: defaultOverage, Tolerance: defaultTolerance}
	if overage != nil {
		b.Overage = *overage
	}
	if tolerance != nil {
		b.Tolerance = max(*tolerance, 0)
	}
	if b.Overage < 0 {
		b.Overage = 1
	}
	return b
}

// PerSecond returns the number of requests that a cold endpoint may receive in any
// second, summed over all routers, if it tolerates the given rate.
func (b Bounds) PerSecond(rate float64) float64 { return rate*b.Overage + b.Tolerance }

// slots returns the number of slots for a rate. It is zero if not even two requests a
// second are within the bounds, since two views of the fleet may send one each.
func (b Bounds) slots(rate float64) int {
	half := math.Floor(b.PerSecond(rate) / 2)
	if !(rate > 0) || !(half >= 1) {
		return 0
	}
	return int(min(max(math.Floor(rate), 1), half, maxSlots))
}

// interval returns the time between two uses of each of the given number of slots.
func interval(rate float64, slots int) time.Duration {
	seconds := float64(slots) / rate
	if seconds >= maxInterval.Seconds() {
		return maxInterval
	}
	return max(time.Duration(seconds*float64(time.Second)), minInterval) + intervalMargin
}
