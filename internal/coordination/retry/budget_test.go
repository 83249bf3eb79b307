package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFleetKeepsItsBudgetWhenEveryRequestFails is the pattern of endpoints that
// all fail: every router repeats as often as its budget lets it.
func TestFleetKeepsItsBudgetWhenEveryRequestFails(t *testing.T) {
	is := is.New(t)
	limits := Limits{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
	const routers = 7
	fleet := make([]*Budget, routers)
	for i := range fleet {
		fleet[i] = New(limits)
	}
	now := time.Unix(1000, 0)
	type event struct {
		at       time.Time
		repeated bool
	}
	var events []event
	for i := range 12000 { // 30 s at 400 requests a second
		now = now.Add(2500 * time.Microsecond)
		b := fleet[i%routers]
		b.CountRequest(now, "pool")
		events = append(events, event{now, b.Spend(now, "pool", routers)})
	}
	first, repeats, most := 0, 0, 0.0
	for i, e := range events {
		if e.repeated {
			repeats++
		}
		for e.at.Sub(events[first].at) > limits.Window {
			if events[first].repeated {
				repeats--
			}
			first++
		}
		over := float64(repeats) - limits.Ratio*float64(i-first+1) - limits.Extra
		most = max(most, over)
	}
	is.True(most <= 0)
	is.True(repeats > 500) // the budget is used, not merely kept
}
