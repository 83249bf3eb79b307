package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/view"
)

// TestNothingStartsAtEndpointThatBeganToLeave guards against requests that are started
// at an endpoint which began to leave while they waited for it, or since it is the only
// one that is not avoided. What runs there continues.
func TestNothingStartsAtEndpointThatBeganToLeave(t *testing.T) {
	is := is.New(t)
	const tokensPerSecond = 100_000
	w := newSimulation(2, tokensPerSecond)
	for range 12 {
		w.send("o", 20_000)
	}
	before := w.startsByEngine["e0"]
	is.True(before > 0 && before+w.startsByEngine["e1"] < 12) // some wait
	running := 0
	for _, r := range w.runs {
		if r.engine == "e0" {
			running++
		}
	}
	engines := append([]view.Endpoint{}, w.engines...)
	engines[0].Leaving = true
	w.engines = engines
	w.setView(tokensPerSecond)
	w.policy.endpoints["e1"].health.avoidUntil = w.now.Add(time.Minute)
	w.advance(2 * time.Second)
	for range 12 {
		w.send("o", 1000)
		w.advance(50 * time.Millisecond)
	}
	is.Equal(w.startsByEngine["e0"], before)
	is.True(w.startsByEngine["e1"] >= 12) // the other one is better than none
	w.advance(5 * time.Second)
	for _, r := range w.runs {
		is.True(r.engine != "e0") // all of them have ended
	}
	is.True(running > 0)
}
