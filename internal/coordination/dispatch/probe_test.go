package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// drive feeds the probe with calls to an endpoint that runs the given number
// at once, each for callTime; beyond that calls queue. The round with the
// number noisy takes three times as long, as when its VM stalls.
func drive(limit float64, calls, capacity, noisy int) float64 {
	const callTime = 5 * time.Millisecond
	var p probe
	rounds := 0
	for range calls {
		took := callTime
		if limit > float64(capacity) {
			took = time.Duration(float64(callTime) * limit / float64(capacity))
		}
		if rounds == noisy {
			took *= 3
		}
		next := p.sample(limit, took)
		if p.count == 0 {
			rounds++
		}
		limit = next
	}
	return limit
}

// TestOneStallDoesNotEndTheSearch lets one round be slow, early in the search.
func TestOneStallDoesNotEndTheSearch(t *testing.T) {
	for noisy := range 6 {
		is := is.New(t)
		is.True(drive(initialLimit, 4000, 1000, noisy) >= 100)
	}
}

func TestSearchStopsAtTheCapacity(t *testing.T) {
	for _, capacity := range []int{4, 16, 64} {
		is := is.New(t)
		found := drive(initialLimit, 20_000, capacity, -1)
		is.True(found >= float64(capacity)*0.75)
		is.True(found <= float64(capacity)*1.6+1)
	}
}
