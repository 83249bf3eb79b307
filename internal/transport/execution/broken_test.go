package execution

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// emptyBudget is a retry budget that is used up.
type emptyBudget struct{ RetryBudget }

func (emptyBudget) Withdraw(*Call) bool { return false }

// TestBrokenAnswerStatesItsCause guards against answers that break off without a
// trace of whether the endpoint or this router ended them.
func TestBrokenAnswerStatesItsCause(t *testing.T) {
	cut := scriptedExchange{status: 200, body: "id: 1\ndata: a\n\n", readErr: errors.New("connection reset")}
	for _, test := range []struct {
		name  string
		adapt func(r *Runner, c *Call)
		want  BreakCause
	}{
		{"not resumable", func(_ *Runner, c *Call) { c.Resumable = false }, CauseEndpoint},
		{"no attempt left", func(_ *Runner, c *Call) { c.MaxAttempts = 1 }, CauseAttempts},
		{"no retry left", func(r *Runner, _ *Call) { r.Budget = emptyBudget{r.Budget} }, CauseRetryBudget},
		{"refused by the gate", func(r *Runner, _ *Call) { r.Gate = &admitOnceGate{} }, CauseGate},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRunner(t, &scriptedBackend{exchanges: []scriptedExchange{cut}})
			call := testCall(true)
			call.Stream, call.Events, call.Resumable, call.MaxAttempts = true, true, true, 2
			test.adapt(r, call)
			var broken *BrokenError
			is.True(errors.As(r.Run(t.Context(), call, &recordingSink{}), &broken))
			is.Equal(broken.Cause, test.want)
			is.True(broken.Silence < time.Minute)
		})
	}
}
