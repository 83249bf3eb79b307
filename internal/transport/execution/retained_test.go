package execution

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/view"
)

// retriedCall returns a call whose server errors are retried.
func retriedCall() *Call {
	call := testCall(true)
	call.RetryServerErrors, call.MaxAttempts, call.Deadline = true, 2, time.Now().Add(10*time.Second)
	return call
}

// TestServerErrorIsReplacedOnlyByAnAnswer guards against a failure of the router that
// the caller gets in place of an endpoint's answer, because the answer was discarded
// for a retry that got none.
func TestServerErrorIsReplacedOnlyByAnAnswer(t *testing.T) {
	failed := scriptedExchange{status: http.StatusInternalServerError, body: "no"}
	served := scriptedExchange{status: http.StatusOK, body: "yes"}
	reset := errors.New("connection reset")
	large := strings.Repeat("large", maxRetainedBytes)
	starts := append([]view.EndpointID{"e1"}, slices.Repeat([]view.EndpointID{"e2", "e3"}, maxUnreached)...)
	for _, test := range []struct {
		name      string
		exchanges []scriptedExchange
		decisions []view.EndpointID
		adapt     func(r *Runner, c *Call)
		status    int
		want      string
		attempts  int
		// failed is the number of attempts that the scheduler learns to have failed.
		failed int
	}{
		{name: "retry refused by the scheduler", exchanges: []scriptedExchange{failed, served}, decisions: []view.EndpointID{"e1", ""}, status: 500, want: "no", attempts: 1, failed: 1},
		{
			name: "retry refused by the gate", exchanges: []scriptedExchange{failed, served}, decisions: starts,
			adapt: func(r *Runner, _ *Call) { r.Gate = &admitOnceGate{} }, status: 500, want: "no", attempts: 1, failed: 1,
		},
		{
			name: "retry not decided", exchanges: []scriptedExchange{failed, served}, decisions: []view.EndpointID{"e1"},
			adapt: func(_ *Runner, c *Call) { c.Deadline = time.Now().Add(time.Second) }, status: 500, want: "no", attempts: 1, failed: 1,
		},
		{
			name: "retry budget empty", exchanges: []scriptedExchange{failed, served}, decisions: starts,
			adapt: func(r *Runner, _ *Call) { r.Budget = emptyBudget{r.Budget} }, status: 500, want: "no", attempts: 1, failed: 1,
		},
		{name: "retry never sent", exchanges: []scriptedExchange{failed, {sendErr: &NotSentError{Err: errors.New("refused")}}}, decisions: starts, status: 500, want: "no", attempts: 1 + maxUnreached, failed: 1},
		{name: "retry withheld", exchanges: []scriptedExchange{failed, {sendErr: &NotSentError{Err: errors.New("old list"), Withheld: true}}}, decisions: starts, status: 500, want: "no", attempts: 1 + maxUnreached, failed: 1},
		{name: "retry broken", exchanges: []scriptedExchange{failed, {sendErr: reset}}, decisions: starts, status: 500, want: "no", attempts: 2, failed: 1},
		{name: "retry broken after its head", exchanges: []scriptedExchange{failed, {status: 200, readErr: reset}}, decisions: starts, status: 500, want: "no", attempts: 2, failed: 1},
		{name: "retry rejected", exchanges: []scriptedExchange{failed, {status: http.StatusServiceUnavailable, body: "full"}}, decisions: starts, status: 500, want: "no", attempts: 2, failed: 1},
		{name: "retry answered", exchanges: []scriptedExchange{failed, served}, decisions: starts, status: 200, want: "yes", attempts: 2, failed: 1},
		{name: "retry fails too", exchanges: []scriptedExchange{failed, {status: http.StatusBadGateway, body: "neither"}}, decisions: starts, status: 502, want: "neither", attempts: 2, failed: 2},
		{name: "answer broken, then served", exchanges: []scriptedExchange{{status: 500, body: "n", readErr: reset}, served}, decisions: starts, status: 200, want: "yes", attempts: 2},
		{name: "large answer, retry refused", exchanges: []scriptedExchange{{status: 500, body: large}, served}, decisions: []view.EndpointID{"e1", ""}, status: 500, want: large, attempts: 1, failed: 1},
		{
			name: "large answer, retry not decided", exchanges: []scriptedExchange{{status: 500, body: large}, served}, decisions: []view.EndpointID{"e1"},
			adapt: func(_ *Runner, c *Call) { c.Deadline = time.Now().Add(time.Second) }, status: 500, want: large, attempts: 1, failed: 1,
		},
		{
			name: "large answer, retry budget empty", exchanges: []scriptedExchange{{status: 500, body: large}, served}, decisions: starts,
			adapt: func(r *Runner, _ *Call) { r.Budget = emptyBudget{r.Budget} }, status: 500, want: large, attempts: 1, failed: 1,
		},
		{
			name: "large answer, no endpoint in reach", exchanges: []scriptedExchange{{status: 500, body: large}, served}, decisions: starts,
			adapt: func(r *Runner, _ *Call) { r.Prober = scriptedProber{"e2": ProcessGone, "e3": ProcessUnknown} }, status: 500, want: large, attempts: 1, failed: 1,
		},
		{name: "large answer, retry answered", exchanges: []scriptedExchange{{status: 500, body: large}, served}, decisions: starts, status: 200, want: "yes", attempts: 2, failed: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &scriptedBackend{exchanges: test.exchanges}
			scheduler := &scriptedScheduler{decisions: test.decisions}
			r, stop := newTimedRunner(t, backend, scheduler)
			call := retriedCall()
			if test.adapt != nil {
				test.adapt(r, call)
			}
			out := &recordingSink{}
			is.NoErr(r.Run(t.Context(), call, out))
			is.True(time.Now().Before(call.Deadline))
			is.Equal(r.Scheduling.Waiting(), 0)
			stop()
			is.True(out.complete)
			is.Equal(out.status, test.status)
			is.Equal(out.String(), test.want)
			is.Equal(backend.attempts, test.attempts)
			failed := 0
			for _, result := range scheduler.results {
				if result == schedule.ResultFailed {
					failed++
				}
			}
			is.Equal(failed, test.failed) // the endpoint failed once, whoever answers in the end
		})
	}
}

// TestServerErrorIsSentAtTheDeadlineOfItsRetry guards against a timeout that the caller
// gets in place of an endpoint's answer.
func TestServerErrorIsSentAtTheDeadlineOfItsRetry(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{status: 500, parts: []timedPart{{0, "no"}}}, {head: forever}}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2"}}
	r, stop := newTimedRunner(t, backend, scheduler)
	call := retriedCall()
	call.Deadline = time.Now().Add(shortPause)
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.Equal(out.status, http.StatusInternalServerError)
	is.Equal(out.String(), "no")
	is.True(!backend.overlapped)
	is.Equal(scheduler.results, []schedule.Result{schedule.ResultFailed, schedule.ResultCancelled})
}

// TestSilentServerErrorIsContinuedElsewhere guards against waiting until the deadline
// for the rest of an answer with a server error.
func TestSilentServerErrorIsContinuedElsewhere(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{status: 500, parts: []timedPart{{0, "n"}, {forever, "o"}}}, {parts: []timedPart{{0, "yes"}}}}}
	r, stop := newTimedRunner(t, backend, &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2"}})
	call := retriedCall()
	call.MaxSilence = testSilence
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.Equal(out.status, http.StatusOK)
	is.Equal(out.String(), "yes")
	is.True(!backend.overlapped)
}

// TestCallerThatLeavesEndsRetryOfServerError guards against a search for a retry that
// remains after the caller has left.
func TestCallerThatLeavesEndsRetryOfServerError(t *testing.T) {
	is := is.New(t)
	backend := &scriptedBackend{exchanges: []scriptedExchange{{status: 500, body: "no"}}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1"}}
	r, stop := newTimedRunner(t, backend, scheduler)
	gate := &countingGate{}
	r.Gate = gate
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(testSilence, cancel)
	out := &recordingSink{}
	is.True(r.Run(ctx, retriedCall(), out) != nil)
	is.Equal(r.Scheduling.Waiting(), 0)
	stop()
	is.Equal(out.status, 0)
	is.Equal(gate.open, 0)
	is.Equal(scheduler.departed, 1)
	is.Equal(scheduler.results, []schedule.Result{schedule.ResultFailed})
}

// TestServerErrorIsSentBeforeTheRouterStops guards against a failure of the router that the
// caller gets in place of an endpoint's answer, because the router stops during its retry.
func TestServerErrorIsSentBeforeTheRouterStops(t *testing.T) {
	for _, decisions := range [][]view.EndpointID{{"e1"}, {"e1", "e2"}} { // the retry waits, or is silent
		is := is.New(t)
		backend := &timedBackend{exchanges: []timedExchange{{status: 500, parts: []timedPart{{0, "no"}}}, {head: forever}}}
		r, stop := newTimedRunner(t, backend, &scriptedScheduler{decisions: decisions})
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(testSilence, func() { cancel(ErrStopping) })
		out := &recordingSink{}
		is.NoErr(r.Run(ctx, retriedCall(), out))
		stop()
		is.Equal(out.status, http.StatusInternalServerError)
		is.Equal(out.String(), "no")
		is.True(out.complete)
	}
}

// endingBackend cancels the call once the first part of its answer has arrived.
type endingBackend struct {
	*timedBackend
	end context.CancelCauseFunc
}

type endingAnswer struct {
	Answer
	end context.CancelCauseFunc
}

func (b endingBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	answer, err := b.timedBackend.Send(ctx, a)
	return endingAnswer{answer, b.end}, err
}

func (a endingAnswer) Read(p []byte) (int, error) {
	n, err := a.Answer.Read(p)
	a.end(ErrStopping)
	return n, err
}

// TestCancelledCallDoesNotBeginItsAnswer guards against an answer that begins as the router
// stops, and is cut at once, where the caller could still get a failure.
func TestCancelledCallDoesNotBeginItsAnswer(t *testing.T) {
	for _, events := range []bool{false, true} {
		is := is.New(t)
		backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {0, "id: 2\n\n"}}}}}
		ctx, cancel := context.WithCancelCause(t.Context())
		r, stop := newTimedRunner(t, endingBackend{backend, cancel}, &scriptedScheduler{decisions: []view.EndpointID{"e1"}})
		call := retriedCall()
		call.Events = events
		out := &recordingSink{}
		err := r.Run(ctx, call, out)
		stop()
		var problem *caller.Problem
		is.True(errors.As(err, &problem))
		is.Equal(problem.NotRun, caller.NotRunUnknown)
		is.Equal(out.status, 0)
	}
}

// TestServerErrorsThatRaceWithSearches guards against places, admissions and runs beside
// each other that remain where the rest of an answer with a server error arrives while
// a continuation is found.
func TestServerErrorsThatRaceWithSearches(t *testing.T) {
	for i := range 40 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rest := "small"
			if i%2 == 0 {
				rest = strings.Repeat("large", maxRetainedBytes)
			}
			random := rand.New(rand.NewPCG(uint64(i), 1))
			pause := testSilence - 2*time.Millisecond + time.Duration(random.Int64N(int64(16*time.Millisecond)))
			backend := &timedBackend{exchanges: []timedExchange{{status: 500, parts: []timedPart{{0, "n"}, {pause, rest}}}, {parts: []timedPart{{0, "yes"}}}}}
			scheduler := &delayedScheduler{random: random, running: map[schedule.RequestID]bool{}}
			r, stop := newTimedRunner(t, backend, scheduler)
			gate := &countingGate{}
			r.Gate = gate
			call := retriedCall()
			call.MaxSilence = testSilence
			out := &recordingSink{}
			is.NoErr(r.Run(t.Context(), call, out))
			is.Equal(r.Scheduling.Waiting(), 0)
			stop()
			is.Equal(len(scheduler.running), 0)
			is.Equal(gate.open, 0)
			is.Equal(backend.running, 0)
			is.True(!backend.overlapped)
			is.Equal(out.status, http.StatusOK)
			is.Equal(out.String(), "yes")
		})
	}
}

// headerBackend plays answers with a header.
type headerBackend struct {
	scriptedBackend
	header http.Header
}

type headerAnswer struct {
	*scriptedAnswer
	header http.Header
}

func (a headerAnswer) Header() http.Header { return a.header }

func (b *headerBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	answer, err := b.scriptedBackend.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	return headerAnswer{answer.(*scriptedAnswer), b.header}, nil
}

// TestServerErrorWithLargeHeaderIsNotRetained guards against headers that are held for each
// call which waits for its retry, after their answers have been closed. The caller still gets
// that answer if the retry is refused, and the retry otherwise.
func TestServerErrorWithLargeHeaderIsNotRetained(t *testing.T) {
	header := http.Header{}
	for i := range 1000 {
		header.Add(fmt.Sprint("X-", i), "")
	}
	for _, admitted := range []bool{false, true} {
		is := is.New(t)
		decisions, status, want := []view.EndpointID{"e1", ""}, http.StatusInternalServerError, "no"
		if admitted {
			decisions, status, want = []view.EndpointID{"e1", "e2"}, http.StatusOK, "yes"
		}
		backend := &headerBackend{header: header, scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 500, body: "no"}, {status: 200, body: "yes"}}}}
		r, stop := newTimedRunner(t, backend, &scriptedScheduler{decisions: slices.Concat(decisions, decisions)})
		out := &recordingSink{}
		is.NoErr(r.Run(t.Context(), retriedCall(), out))
		is.Equal(out.status, status)
		is.Equal(out.String(), want)
		is.True(out.complete)

		backend.attempts = 0
		call := retriedCall()
		ctx, limit := limitAnswer(t.Context(), call)
		p := &progress{call: call, limit: limit}
		start, err := r.admit(ctx, p)
		is.NoErr(err)
		_, err = r.attempt(ctx, p, start, &sinkTracker{Sink: &recordingSink{}})
		is.Equal(err != nil, admitted) // discarded in favour of a certain retry
		is.True(p.retained == nil)
		r.releaseContinuation(p)
		limit.stop()
		stop()
	}
}
