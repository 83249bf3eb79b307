package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFleetStaysWithinBudgetWhenEveryRequestFails covers endpoints that all
// fail, so that every router retries as often as its budget allows. The retries
// of all routers together must not exceed the limits over any window.
func TestFleetStaysWithinBudgetWhenEveryRequestFails(t *testing.T) {
	is := is.New(t)
	limits := Limits{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
	const routers = 7
	fleet := make([]*Budget, routers)
	for i := range fleet {
		fleet[i] = New(limits)
	}
	now := time.Unix(1000, 0)
	type event struct {
		at      time.Time
		retried bool
	}
	var events []event
	for i := range 12000 { // 30 s at 400 requests a second
		now = now.Add(2500 * time.Microsecond)
		b := fleet[i%routers]
		b.CountRequest(now, "pool")
		events = append(events, event{now, b.Spend(now, "pool", routers)})
	}
	first, retries, maxExcess := 0, 0, 0.0
	for i, e := range events {
		if e.retried {
			retries++
		}
		for e.at.Sub(events[first].at) > limits.Window {
			if events[first].retried {
				retries--
			}
			first++
		}
		excess := float64(retries) - limits.Ratio*float64(i-first+1) - limits.Extra
		maxExcess = max(maxExcess, excess)
	}
	is.True(maxExcess <= 0)
	is.True(retries > 500) // the budget is also used
}
