package execution

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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

// fullBackend rejects the given number of attempts after the first one.
type fullBackend struct {
	*timedBackend
	attempts, rejects atomic.Int64
}

func (b *fullBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	if b.attempts.Add(1) > 1 && b.rejects.Add(-1) >= 0 {
		return &scriptedAnswer{status: http.StatusServiceUnavailable, end: errors.New("not read")}, nil
	}
	return b.timedBackend.Send(ctx, a)
}

// unlimitedBudget is a retry budget that is never used up.
type unlimitedBudget struct{ RetryBudget }

func (unlimitedBudget) Withdraw(*Call) bool { return true }

// refillingBudget is a retry budget that is empty for the given number of withdrawals.
type refillingBudget struct {
	RetryBudget
	empty, withdrawn int
}

func (b *refillingBudget) Withdraw(*Call) bool {
	if b.empty--; b.empty >= 0 {
		return false
	}
	b.withdrawn++
	return true
}

// TestBegunStreamWaitsForRetryBudget guards against a stream that the router ends because
// the retry budget is empty for a moment, and against a retry that is not taken from it.
func TestBegunStreamWaitsForRetryBudget(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{
		{parts: []timedPart{{0, "id: 1\n\n"}}, err: errors.New("connection reset")}, {parts: []timedPart{{0, "id: 2\n\n"}}},
	}}
	r, stop := newTimedRunner(t, backend, &untriedScheduler{})
	budget := &refillingBudget{RetryBudget: r.Budget, empty: 2}
	r.Budget = budget
	call := silentCall(true)
	call.Patience = 5 * time.Second
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
	is.Equal(budget.withdrawn, 1)
}

// untriedScheduler starts requests at an endpoint that they have not tried, and refuses
// them if there is none.
type untriedScheduler struct{ scriptedScheduler }

func (s *untriedScheduler) Step(now time.Time, in schedule.Input) []schedule.Output {
	if arrival, ok := in.(schedule.Arrival); ok {
		next := view.EndpointID("")
		if len(arrival.Request.Tried) < 3 {
			next = otherEndpoint(arrival.Request.Tried)
		}
		s.decisions = append(s.decisions, next)
	}
	return s.scriptedScheduler.Step(now, in)
}

// TestBegunStreamContinuesOnceEndpointsHaveRoom guards against a stream that the router
// ends because each endpoint was full when it asked, although one has room soon after.
func TestBegunStreamContinuesOnceEndpointsHaveRoom(t *testing.T) {
	is := is.New(t)
	backend := &fullBackend{timedBackend: &timedBackend{exchanges: []timedExchange{
		{parts: []timedPart{{0, "id: 1\n\n"}}, err: errors.New("connection reset")}, {parts: []timedPart{{0, "id: 2\n\n"}}},
	}}}
	backend.rejects.Store(5) // twice by each endpoint that is left, and once more
	scheduler := &untriedScheduler{}
	r, stop := newTimedRunner(t, backend, scheduler)
	r.Budget = unlimitedBudget{r.Budget}
	call := silentCall(true)
	call.Patience = 5 * time.Second
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.True(out.complete)
	is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
	is.Equal(backend.endpoints, []view.EndpointID{"e1", "e3"}) // e1 broke the stream off
}

// TestSearchReturnsToFullEndpoint guards against a stream that stays at a silent endpoint
// since another one was full once.
func TestSearchReturnsToFullEndpoint(t *testing.T) {
	is := is.New(t)
	backend := &fullBackend{timedBackend: &timedBackend{exchanges: []timedExchange{
		{parts: []timedPart{{0, "id: 1\n\n"}}, err: errors.New("connection reset")}, {head: forever}, {parts: []timedPart{{0, "id: 2\n\n"}}},
	}}}
	backend.rejects.Store(1)
	r, stop := newTimedRunner(t, backend, &untriedScheduler{})
	r.Budget = unlimitedBudget{r.Budget}
	call := silentCall(true)
	call.MaxAttempts = 3
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
	is.Equal(backend.endpoints, []view.EndpointID{"e1", "e3", "e2"})
}

// TestBegunStreamOfFullEndpointsEndsWithItsCaller guards against a stream that is held
// after its caller has given up, and against a hot loop at endpoints that are full.
func TestBegunStreamOfFullEndpointsEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	backend := &fullBackend{timedBackend: &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}}, err: errors.New("connection reset")}}}}
	backend.rejects.Store(1 << 30)
	r, stop := newTimedRunner(t, backend, &untriedScheduler{})
	r.Budget = unlimitedBudget{r.Budget}
	call := silentCall(true)
	call.Patience = time.Second
	begun := time.Now()
	var broken *BrokenError
	is.True(errors.As(r.Run(t.Context(), call, &recordingSink{}), &broken))
	stop()
	is.Equal(broken.Cause, CauseScheduler)
	is.True(time.Since(begun) >= call.Patience/2)
	is.True(time.Since(begun) < 5*time.Second)
	is.True(backend.attempts.Load() <= 1+2*int64(call.Patience/minSearchInterval))
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
