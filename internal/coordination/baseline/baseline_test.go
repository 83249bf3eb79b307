package baseline

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

var start = time.Unix(1_000_000, 0)

func snapshot() *view.Snapshot {
	return &view.Snapshot{Self: "r1", Endpoints: []view.Endpoint{{ID: "e1", Pool: "p"}, {ID: "e2", Pool: "p"}}}
}

func starts(outputs []schedule.Output) []schedule.RequestID {
	var ids []schedule.RequestID
	for _, o := range outputs {
		if s, ok := o.(schedule.Start); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

func TestOrders(t *testing.T) {
	tests := []struct {
		name  string
		order Order
		want  schedule.RequestID
	}{
		{"arrival", OrderArrival, 3},
		{"start tag", OrderStartTag, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Options{Order: test.order, Slots: 1, Source: rand.NewPCG(1, 2)})
			s.Step(start, schedule.Change{View: snapshot()})
			for id := range schedule.RequestID(5) {
				organisation := "large"
				if id == 4 {
					organisation = "small"
				}
				r := schedule.Request{ID: id + 1, Organisation: organisation, Pool: "p", MayWait: true, Estimate: 10}
				s.Step(start, schedule.Arrival{Request: r})
			}
			got := starts(s.Step(start, schedule.Completion{ID: 1, Result: schedule.ResultFinished}))
			is.Equal(got, []schedule.RequestID{test.want})
		})
	}
}

func TestEveryArrivalEndsInOneStartOrRefusal(t *testing.T) {
	is := is.New(t)
	s := New(Options{Choice: ChoiceRandom, Slots: 1, Source: rand.NewPCG(1, 2)})
	s.Step(start, schedule.Change{View: snapshot()})
	ended := map[schedule.RequestID]int{}
	count := func(outputs []schedule.Output) {
		for _, o := range outputs {
			switch o := o.(type) {
			case schedule.Start:
				ended[o.ID]++
			case schedule.Refusal:
				ended[o.ID]++
			}
		}
	}
	for id := range schedule.RequestID(6) {
		r := schedule.Request{ID: id, Pool: "p", MayWait: id != 3, Deadline: start.Add(time.Second)}
		count(s.Step(start, schedule.Arrival{Request: r}))
	}
	is.Equal(ended[3], 1) // this request may not wait
	s.Step(start, schedule.Departure{ID: 4})
	count(s.Step(start.Add(time.Second), schedule.Alarm{}))
	is.Equal(ended[4], 0) // the caller of this request has gone
	for _, id := range []schedule.RequestID{0, 1, 2, 3, 5} {
		is.Equal(ended[id], 1)
	}
}
