package execution

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/view"
)

// TestCallWithoutAnswerEndsInTimeForItsCaller guards against a caller that stops waiting
// before it learns that its call has got no answer, and against the end of an answer that is
// arriving.
func TestCallWithoutAnswerEndsInTimeForItsCaller(t *testing.T) {
	const limit = 4 * shortPause
	silent, whole := timedExchange{head: forever}, []timedPart{{0, "answer"}}
	for _, test := range []struct {
		name       string
		idempotent bool
		stream     bool
		decisions  []view.EndpointID
		exchanges  []timedExchange
		// status is that of the answer, or the one that a failure of the router proves.
		status int
		answer string
	}{
		{name: "silent", decisions: []view.EndpointID{"e1"}, exchanges: []timedExchange{silent}, status: http.StatusGatewayTimeout},
		{name: "silent, idempotent", idempotent: true, decisions: []view.EndpointID{"e1"}, exchanges: []timedExchange{silent}, status: http.StatusGatewayTimeout},
		{name: "silent twice", idempotent: true, decisions: []view.EndpointID{"e1", "e2"}, exchanges: []timedExchange{silent}, status: http.StatusGatewayTimeout},
		{name: "stream without a head", stream: true, idempotent: true, decisions: []view.EndpointID{"e1"}, exchanges: []timedExchange{silent}, status: http.StatusGatewayTimeout},
		{name: "not started", exchanges: []timedExchange{silent}, status: http.StatusServiceUnavailable},
		{name: "sent, then not started", idempotent: true, decisions: []view.EndpointID{"e1"}, exchanges: []timedExchange{{parts: whole, err: errors.New("connection reset")}}, status: http.StatusGatewayTimeout},
		{name: "replaced by a retry without an answer", idempotent: true, decisions: []view.EndpointID{"e1", "e2"}, exchanges: []timedExchange{{status: 500, parts: whole}, silent}, status: 500, answer: "answer"},
		{name: "arriving", decisions: []view.EndpointID{"e1"}, exchanges: []timedExchange{{parts: []timedPart{{limit + shortPause, "answer"}}}}, status: 200, answer: "answer"},
		{name: "begun", stream: true, idempotent: true, decisions: []view.EndpointID{"e1"}, exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {limit + shortPause, "id: 2\n\n"}}}}, status: 200, answer: "id: 1\n\nid: 2\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r, stop := newTimedRunner(t, &timedBackend{exchanges: test.exchanges}, &scriptedScheduler{decisions: test.decisions})
			defer stop()
			call := silentCall(test.stream)
			call.Class.Idempotent, call.RetryServerErrors = test.idempotent, test.idempotent
			call.Deadline, call.AnswerBy = time.Now().Add(30*time.Second), time.Now().Add(limit)
			if !test.idempotent {
				call.MaxSilence = 0
			}
			out := &recordingSink{}
			err := r.Run(t.Context(), call, out)
			is.True(time.Now().Before(call.Deadline.Add(-10 * time.Second)))
			is.Equal(out.String(), test.answer)
			is.Equal(out.complete, test.answer != "")
			status := out.status
			var problem *caller.Problem
			if errors.As(err, &problem) {
				status = problem.ProvenStatus()
			}
			is.Equal(status, test.status)
		})
	}
}
