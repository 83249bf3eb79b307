package execution

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// rejectingBackend rejects the attempts at the given endpoint.
type rejectingBackend struct {
	*timedBackend
	rejects view.EndpointID
}

func (b rejectingBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	if a.Endpoint.ID == b.rejects {
		return &scriptedAnswer{status: http.StatusServiceUnavailable, end: errors.New("not read")}, nil
	}
	return b.timedBackend.Send(ctx, a)
}

// TestRejectedContinuationEndsNoAnswer guards against a stream that the router ends
// because the endpoint for which a silent attempt was given up turned out to be full,
// although it has run at fewer endpoints than MaxAttempts allows.
func TestRejectedContinuationEndsNoAnswer(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {forever, ""}}}, {parts: []timedPart{{0, "id: 2\n\n"}}}}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2", "e3"}}
	r, stop := newTimedRunner(t, rejectingBackend{backend, "e2"}, scheduler)
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), silentCall(true), out))
	stop()
	is.True(out.complete)
	is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
	is.Equal(scheduler.results, []schedule.Result{schedule.ResultSilent, schedule.ResultRejected, schedule.ResultFinished})
}

// TestServerErrorIsAnsweredIfItsRetryIsRefused guards against replacing an endpoint's
// answer by a failure of our own because the retry for which it was dropped is refused.
func TestServerErrorIsAnsweredIfItsRetryIsRefused(t *testing.T) {
	is := is.New(t)
	backend := &scriptedBackend{exchanges: []scriptedExchange{{status: http.StatusInternalServerError, body: "answer"}}}
	r, stop := newTimedRunner(t, backend, &scriptedScheduler{decisions: []view.EndpointID{"e1", ""}})
	call := silentCall(false)
	call.RetryServerErrors = true
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.Equal(out.status, http.StatusInternalServerError)
	is.Equal(out.String(), "answer")
}
