package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

// TestSilenceIsNoSaturation guards against refusing new requests while an endpoint that
// can run them has room, because it was silent and has continued, and against starting
// them where a long gap between events has another reason: prompts that it processes.
func TestSilenceIsNoSaturation(t *testing.T) {
	const interval = 40 * time.Millisecond
	const silence = silenceTimeout + 4*interval
	for _, test := range []struct {
		name   string
		prompt int64 // of a request that the endpoint runs meanwhile
		starts bool
	}{
		{"nothing to process", 100, true},
		{"processes a prompt", int64(2 * defaultSpeed * float64(silence/time.Millisecond)), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1, 100_000)
			first, second := w.begin("p", 100), w.begin("p", 100)
			for _, id := range []schedule.RequestID{first, second} {
				w.input(schedule.Progress{ID: id, Service: 1, EventInterval: interval, LongestGap: interval})
			}
			w.send("q", test.prompt)
			is.Equal(w.started["q"], 1)
			w.now = w.now.Add(silence)
			w.input(schedule.Alarm{})
			for _, id := range []schedule.RequestID{first, second} {
				w.now = w.now.Add(interval)
				w.input(schedule.Progress{ID: id, Service: 1, EventInterval: silence, LongestGap: silence})
			}
			w.input(schedule.Progress{ID: w.last, Service: 1, FirstToken: silence})
			w.now = w.now.Add(testStep)
			w.send("o", 100)
			is.Equal(w.started["o"] == 1, test.starts)
		})
	}
}

// begin sends a request that begins to be answered at once.
func (w *simulation) begin(organisation string, tokens int64) schedule.RequestID {
	w.send(organisation, tokens)
	id := w.last
	w.input(schedule.Progress{ID: id, Service: 1, FirstToken: firstTokenOverhead})
	return id
}
