package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runProbe feeds the probe with calls to an endpoint that runs capacity calls
// at once, each for callTime; further calls queue. In round number
// stalledRound, calls take three times as long, as if the endpoint's VM
// stalled.
func runProbe(limit float64, calls, capacity, stalledRound int) float64 {
	const callTime = 5 * time.Millisecond
	var p probe
	rounds := 0
	for range calls {
		took := callTime
		if limit > float64(capacity) {
			took = time.Duration(float64(callTime) * limit / float64(capacity))
		}
		if rounds == stalledRound {
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

// TestOneStallDoesNotEndTheSearch guards against a coarse search that ends too
// low because one early round was slow.
func TestOneStallDoesNotEndTheSearch(t *testing.T) {
	for stalledRound := range 6 {
		is := is.New(t)
		is.True(runProbe(initialLimit, 4000, 1000, stalledRound) >= 100)
	}
}

func TestSearchStopsAtTheCapacity(t *testing.T) {
	for _, capacity := range []int{4, 16, 64} {
		is := is.New(t)
		found := runProbe(initialLimit, 20_000, capacity, -1)
		is.True(found >= float64(capacity)*0.75)
		is.True(found <= float64(capacity)*1.6+1)
	}
}
