package execution

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// closingBackend is a backend whose answers end with their connections.
type closingBackend struct{ *timedBackend }

type closingAnswer struct{ Answer }

func (b closingBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	answer, err := b.timedBackend.Send(ctx, a)
	return closingAnswer{answer}, err
}

func (closingAnswer) CloseDelimited() bool { return true }

// TestAnswerCutByCrashIsNotComplete guards against an answer without a length that looks
// complete although its endpoint crashed, or does not answer any more, also one that leaves;
// and against one that looks broken although its endpoint, which leaves, lives.
func TestAnswerCutByCrashIsNotComplete(t *testing.T) {
	for _, test := range []struct {
		name            string
		events, leaving bool
		state           ProcessState
		complete        bool
		want            string
		results         []schedule.Result
	}{
		{"stream", true, false, ProcessGone, true, "id: 1\n\nid: 2\n\n", []schedule.Result{schedule.ResultBroken, schedule.ResultFinished}},
		{"plain", false, false, ProcessGone, true, "id: 2\n\n", []schedule.Result{schedule.ResultBroken, schedule.ResultFinished}},
		{"plain without an answer", false, false, ProcessUnknown, true, "id: 2\n\n", []schedule.Result{schedule.ResultBroken, schedule.ResultFinished}},
		{"plain of a living endpoint", false, false, ProcessAlive, true, "id: 1\n\n", []schedule.Result{schedule.ResultFinished}},
		{"plain of a leaving endpoint that has ended", false, true, ProcessGone, true, "id: 2\n\n", []schedule.Result{schedule.ResultBroken, schedule.ResultFinished}},
		{"stream of a leaving endpoint that has ended", true, true, ProcessGone, true, "id: 1\n\nid: 2\n\n", []schedule.Result{schedule.ResultBroken, schedule.ResultFinished}},
		{"stream of a leaving endpoint", true, true, ProcessAlive, true, "id: 1\n\n", []schedule.Result{schedule.ResultFinished}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}}}, {parts: []timedPart{{0, "id: 2\n\n"}}}}}
			scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2"}}
			r, stop := newTimedRunner(t, closingBackend{backend}, scheduler)
			r.Prober = scriptedProber{"e1": test.state, "e2": ProcessAlive}
			call := silentCall(test.events)
			if test.leaving {
				call.MaxAttempts = 0
				r.Views = fixedView{&view.Snapshot{Endpoints: []view.Endpoint{{ID: "e1", Leaving: true}, {ID: "e2"}}}}
			}
			out := &recordingSink{}
			err := r.Run(t.Context(), call, out)
			stop()
			var broken *BrokenError
			is.Equal(errors.As(err, &broken), !test.complete)
			is.Equal(out.complete, test.complete)
			is.Equal(out.String(), test.want)
			is.Equal(scheduler.results, test.results)
		})
	}
}
