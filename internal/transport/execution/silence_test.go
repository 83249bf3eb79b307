package execution

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/view"
)

const (
	// testSilence is the silence after which the runner looks for a continuation,
	// and shortPause one that lasts longer.
	testSilence = 50 * time.Millisecond
	shortPause  = 4 * testSilence
	// forever is longer than any call of the tests.
	forever = time.Hour
)

// timedPart is a part of a timed answer, which arrives after a pause.
type timedPart struct {
	pause time.Duration
	data  string
}

// timedExchange is the timed outcome of one attempt: its head arrives after a
// pause, and its parts follow. It ends with io.EOF unless err is set. Its status is 200
// unless status is set.
type timedExchange struct {
	head   time.Duration
	status int
	parts  []timedPart
	err    error
}

// timedBackend plays one timed exchange per attempt.
type timedBackend struct {
	exchanges []timedExchange

	mu         sync.Mutex
	endpoints  []view.EndpointID // guarded by mu
	lastEvents []string          // guarded by mu
	running    int               // guarded by mu
	// overlapped is set once two attempts ran beside each other. Guarded by mu.
	overlapped bool
}

func (b *timedBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	b.mu.Lock()
	x := b.exchanges[min(len(b.endpoints), len(b.exchanges)-1)]
	b.endpoints, b.lastEvents = append(b.endpoints, a.Endpoint.ID), append(b.lastEvents, a.LastEvent)
	b.running++
	b.overlapped = b.overlapped || b.running > 1
	b.mu.Unlock()
	answer := &timedAnswer{ctx: ctx, backend: b, status: x.status, parts: x.parts, end: x.err}
	if err := answer.wait(x.head); err != nil {
		_ = answer.Close()
		return nil, err
	}
	return answer, nil
}

type timedAnswer struct {
	ctx     context.Context
	backend *timedBackend
	status  int
	parts   []timedPart
	end     error
	once    sync.Once
}

func (a *timedAnswer) wait(pause time.Duration) error {
	select {
	case <-a.ctx.Done():
		return a.ctx.Err()
	case <-time.After(pause):
		return nil
	}
}

func (a *timedAnswer) Status() int         { return cmp.Or(a.status, http.StatusOK) }
func (a *timedAnswer) Header() http.Header { return http.Header{} }

func (a *timedAnswer) Close() error {
	a.once.Do(func() {
		a.backend.mu.Lock()
		a.backend.running--
		a.backend.mu.Unlock()
	})
	return nil
}

func (a *timedAnswer) Read(p []byte) (int, error) {
	if len(a.parts) == 0 {
		if a.end != nil {
			return 0, a.end
		}
		return 0, io.EOF
	}
	if err := a.wait(a.parts[0].pause); err != nil {
		return 0, err
	}
	n := copy(p, a.parts[0].data)
	if n < len(a.parts[0].data) {
		a.parts = slices.Clone(a.parts)
		a.parts[0] = timedPart{data: a.parts[0].data[n:]}
		return n, nil
	}
	a.parts = a.parts[1:]
	return n, nil
}

// scriptedScheduler decides on requests in their order: it starts them at an
// endpoint, refuses them if the endpoint is empty, and lets them wait if there is no
// decision.
type scriptedScheduler struct {
	decisions []view.EndpointID
	// retryAfter is the time stated with a refusal; testSilence if it is zero.
	retryAfter time.Duration
	arrivals   []schedule.Request
	departed   int
	results    []schedule.Result
}

func (s *scriptedScheduler) Step(now time.Time, in schedule.Input) []schedule.Output {
	switch in := in.(type) {
	case schedule.Arrival:
		n := len(s.arrivals)
		s.arrivals = append(s.arrivals, in.Request)
		switch {
		case n >= len(s.decisions):
			return nil
		case s.decisions[n] == "":
			return []schedule.Output{schedule.Refusal{ID: in.Request.ID, Reason: schedule.RefusalOverload, RetryAt: now.Add(cmp.Or(s.retryAfter, testSilence))}}
		}
		return []schedule.Output{schedule.Start{ID: in.Request.ID, Endpoint: s.decisions[n]}}
	case schedule.Departure:
		s.departed++
	case schedule.Completion:
		s.results = append(s.results, in.Result)
	}
	return nil
}

// newTimedRunner returns a runner with three endpoints and the given scheduler; the
// returned function stops the scheduler, whose fields may then be read.
func newTimedRunner(t *testing.T, backend Backend, s schedule.Scheduler) (*Runner, func()) {
	t.Helper()
	v := &view.Snapshot{Self: "r"}
	for _, id := range []view.EndpointID{"e1", "e2", "e3"} {
		v.Endpoints = append(v.Endpoints, view.Endpoint{ID: id, Pool: "p"})
	}
	logger := &log.Logger{Handler: discard.New()}
	scheduling := NewScheduling(s, noPeers{}, logger)
	t.Cleanup(scheduling.Close)
	scheduling.Input(schedule.Change{View: v})
	return NewRunner(scheduling, backend, fixedView{v}, admitAllGate{}, NewBudget(), logger), scheduling.Close
}

func silentCall(stream bool) *Call {
	call := testCall(true)
	call.Stream, call.Events, call.Resumable = stream, stream, stream
	call.MaxAttempts, call.MaxSilence, call.Deadline = 2, testSilence, time.Now().Add(10*time.Second)
	return call
}

// TestSilenceEndsNoAnswerWithoutContinuation guards against an answer that the
// router ends because its endpoint is silent, before it is certain that another
// endpoint continues it: the caller then gets neither an answer nor a refusal,
// although the endpoint would have continued.
func TestSilenceEndsNoAnswerWithoutContinuation(t *testing.T) {
	const first, second, third = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	begun := timedExchange{parts: []timedPart{{0, first}, {shortPause, second}}}
	unbegun := timedExchange{parts: []timedPart{{shortPause, first}}}
	late := timedExchange{head: shortPause, parts: []timedPart{{0, first}}}
	for _, test := range []struct {
		name      string
		plain     bool
		exchanges []timedExchange
		decisions []view.EndpointID
		adapt     func(r *Runner, c *Call)
		want      string
		sent      int
	}{
		{name: "continuation refused", exchanges: []timedExchange{begun}, decisions: []view.EndpointID{"e1", "", "", "", "", "", "", ""}, want: first + second, sent: 1},
		{name: "continuation waits", exchanges: []timedExchange{begun}, decisions: []view.EndpointID{"e1"}, want: first + second, sent: 1},
		{
			name: "second endpoint silent too", exchanges: []timedExchange{{parts: []timedPart{{0, first}, {forever, second}}}, {parts: []timedPart{{0, second}, {shortPause, third}}}},
			decisions: []view.EndpointID{"e1", "e2", "e3"}, want: first + second + third, sent: 2,
		},
		{
			name: "second endpoint silent from the beginning", exchanges: []timedExchange{{parts: []timedPart{{0, first}, {forever, second}}}, {head: shortPause, parts: []timedPart{{shortPause, second}}}},
			decisions: []view.EndpointID{"e1", "e2", "e3"}, want: first + second, sent: 2,
		},
		{
			name: "no retry left", exchanges: []timedExchange{begun}, decisions: []view.EndpointID{"e1", "e2", "e2", "e2", "e2"},
			adapt: func(r *Runner, _ *Call) { r.Budget = emptyBudget{r.Budget} }, want: first + second, sent: 1,
		},
		{
			name: "refused by the gate", exchanges: []timedExchange{begun}, decisions: []view.EndpointID{"e1", "e2"},
			adapt: func(r *Runner, _ *Call) { r.Gate = &admitOnceGate{} }, want: first + second, sent: 1,
		},
		{
			name: "no attempt left", exchanges: []timedExchange{begun}, decisions: []view.EndpointID{"e1", "e2"},
			adapt: func(_ *Runner, c *Call) { c.MaxAttempts = 1 }, want: first + second, sent: 1,
		},
		{name: "events without ids", exchanges: []timedExchange{{parts: []timedPart{{0, "data: a\n\n"}, {shortPause, "data: b\n\n"}}}}, decisions: []view.EndpointID{"e1", "e2"}, want: "data: a\n\ndata: b\n\n", sent: 1},
		{name: "not begun, refused", exchanges: []timedExchange{unbegun}, decisions: []view.EndpointID{"e1", "", "", "", "", "", "", ""}, want: first, sent: 1},
		{name: "no head, refused", exchanges: []timedExchange{late}, decisions: []view.EndpointID{"e1", "", "", "", "", "", "", ""}, want: first, sent: 1},
		{name: "no head, no attempt left", exchanges: []timedExchange{{head: forever}, late}, decisions: []view.EndpointID{"e1", "e2", "e3"}, want: first, sent: 2},
		{name: "idempotent call, refused", plain: true, exchanges: []timedExchange{late}, decisions: []view.EndpointID{"e1", "", "", "", "", "", "", ""}, want: first, sent: 1},
		{name: "idempotent call, no attempt left", plain: true, exchanges: []timedExchange{{head: forever}, late}, decisions: []view.EndpointID{"e1", "e2", "e3"}, want: first, sent: 2},
		{name: "idempotent call, silent within the answer", plain: true, exchanges: []timedExchange{begun}, decisions: []view.EndpointID{"e1", "e2"}, want: first + second, sent: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &timedBackend{exchanges: test.exchanges}
			scheduler := &scriptedScheduler{decisions: test.decisions}
			r, stop := newTimedRunner(t, backend, scheduler)
			call := silentCall(!test.plain)
			if test.adapt != nil {
				test.adapt(r, call)
			}
			out := &recordingSink{}
			is.NoErr(r.Run(t.Context(), call, out))
			stop()
			is.True(out.complete)
			is.Equal(out.String(), test.want)
			is.Equal(len(backend.endpoints), test.sent)
			is.True(!backend.overlapped)
		})
	}
}

// TestSilenceOfContinuationCountsFromTheLastEvent guards against a stream that stays at a
// second silent endpoint until its caller gives up, because the silence of the first one
// does not count.
func TestSilenceOfContinuationCountsFromTheLastEvent(t *testing.T) {
	for _, second := range []timedExchange{{head: forever}, {head: 100 * time.Millisecond, parts: []timedPart{{forever, ""}}}} {
		is := is.New(t)
		backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {forever, ""}}}, second, {parts: []timedPart{{0, "id: 2\n\n"}}}}}
		scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2", "e3"}}
		r, stop := newTimedRunner(t, backend, scheduler)
		call := silentCall(true)
		call.MaxAttempts, call.MaxSilence, call.Patience = 3, 1200*time.Millisecond, 2*time.Second
		out := &recordingSink{}
		begun := time.Now()
		is.NoErr(r.Run(t.Context(), call, out))
		stop()
		is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
		is.True(time.Since(begun) < call.Patience)
	}
}

// TestSilentAttemptIsCancelledBeforeItsContinuation guards against two endpoints
// that run one stream at the same time, and a continuation that repeats or omits
// events.
func TestSilentAttemptIsCancelledBeforeItsContinuation(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{
		{parts: []timedPart{{0, "id: 1\n\n"}, {0, "id: 2\n\nid: 3"}, {forever, "\n\n"}}},
		{parts: []timedPart{{0, "id: 3\n\n"}}},
	}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2"}}
	r, stop := newTimedRunner(t, backend, scheduler)
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), silentCall(true), out))
	stop()
	is.Equal(out.String(), "id: 1\n\nid: 2\n\nid: 3\n\n")
	is.Equal(backend.endpoints, []view.EndpointID{"e1", "e2"})
	is.Equal(backend.lastEvents, []string{"", "2"})
	is.True(!backend.overlapped)
	is.True(slices.Contains(scheduler.arrivals[1].Tried, "e1")) // it must be another endpoint
	is.True(scheduler.arrivals[1].Resumes)
	is.Equal(scheduler.results, []schedule.Result{schedule.ResultSilent, schedule.ResultFinished})
}

// TestCallerThatLeavesEndsSilentAttempt guards against an endpoint that works on
// after the caller has left while the router looks for another one.
func TestCallerThatLeavesEndsSilentAttempt(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {forever, "id: 2\n\n"}}}}}
	r, stop := newTimedRunner(t, backend, &scriptedScheduler{decisions: []view.EndpointID{"e1"}})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(shortPause, cancel)
	begun := time.Now()
	var broken *BrokenError
	is.True(errors.As(r.Run(ctx, silentCall(true), &recordingSink{}), &broken))
	is.Equal(broken.Cause, CauseCaller)
	is.True(time.Since(begun) < 5*time.Second)
	is.Equal(backend.running, 0)
	is.Equal(r.Scheduling.Waiting(), 0)
	stop()
}

// TestSilenceUntilDeadlineIsAnswered guards against a call that ends without an
// answer because its endpoint was silent all the time.
func TestSilenceUntilDeadlineIsAnswered(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		backend := &timedBackend{exchanges: []timedExchange{{head: forever}}}
		r, _ := newTimedRunner(t, backend, &scriptedScheduler{decisions: []view.EndpointID{"e1", "", "", "", ""}})
		call := silentCall(stream)
		call.Deadline = time.Now().Add(shortPause)
		var problem *caller.Problem
		is.True(errors.As(r.Run(t.Context(), call, &recordingSink{}), &problem))
		is.Equal(problem.Status, http.StatusGatewayTimeout)
		is.Equal(problem.NotRun, caller.NotRunUnknown)
		is.Equal(len(backend.endpoints), 1)
	}
}

// scriptedProber reports endpoints as alive unless they are listed.
type scriptedProber map[view.EndpointID]ProcessState

func (p scriptedProber) Probe(_ context.Context, e *view.Endpoint, _ time.Time) ProcessState {
	if state, listed := p[e.ID]; listed {
		return state
	}
	return ProcessAlive
}

// TestSilentAttemptMovesToReachableEndpoint guards against giving up an attempt for
// an endpoint that cannot be reached.
func TestSilentAttemptMovesToReachableEndpoint(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {forever, ""}}}, {parts: []timedPart{{0, "id: 2\n\n"}}}}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2", "e3"}}
	r, stop := newTimedRunner(t, backend, scheduler)
	r.Prober = scriptedProber{"e2": ProcessUnknown}
	is.NoErr(r.Run(t.Context(), silentCall(true), &recordingSink{}))
	stop()
	is.Equal(backend.endpoints, []view.EndpointID{"e1", "e3"})
	is.Equal(scheduler.arrivals[2].Tried, []view.EndpointID{"e2", "e1"})
	is.Equal(scheduler.results, []schedule.Result{schedule.ResultUnused, schedule.ResultSilent, schedule.ResultFinished})
}

// TestRecoveredEndpointMayContinue guards against a stream that has to stay at its
// second endpoint, which is silent, because its first was silent before.
func TestRecoveredEndpointMayContinue(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{
		{parts: []timedPart{{0, "id: 1\n\n"}, {forever, ""}}}, {parts: []timedPart{{0, "id: 2\n\n"}, {forever, ""}}}, {parts: []timedPart{{0, "id: 3\n\n"}}},
	}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2", "e1"}}
	r, stop := newTimedRunner(t, backend, scheduler)
	call := silentCall(true)
	call.MaxAttempts = 3
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.Equal(out.String(), "id: 1\n\nid: 2\n\nid: 3\n\n")
	is.Equal(scheduler.arrivals[2].Tried, []view.EndpointID{"e2"})
}

// balancedGate counts admissions that have not ended. A search that reaches it after
// the first admission waits until it is withdrawn.
type balancedGate struct {
	admitAllGate
	mu         sync.Mutex
	admissions int // guarded by mu
	open       int // guarded by mu
}

func (g *balancedGate) Admit(ctx context.Context, _ *Call) (bool, error) {
	g.mu.Lock()
	g.admissions++
	wait := g.admissions%2 == 0
	g.mu.Unlock()
	if wait {
		<-ctx.Done()
		return false, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
	return false, nil
}

func (g *balancedGate) Done(*Call, *Outcome) (confirmed func(context.Context)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	return nil
}

// TestEventEndsSearch guards against searches, places and admissions that remain
// after the silent endpoint has continued.
func TestEventEndsSearch(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {shortPause, "id: 2\n\n"}, {shortPause, "id: 3\n\n"}, {0, "id: 4\n\n"}}}}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1"}} // the second search waits there
	r, stop := newTimedRunner(t, backend, scheduler)
	gate := &balancedGate{}
	r.Gate = gate
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), silentCall(true), out))
	is.Equal(r.Scheduling.Waiting(), 0)
	stop()
	is.Equal(out.String(), "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n")
	is.Equal(len(backend.endpoints), 1)
	is.True(gate.admissions >= 3) // those of the attempt and of a search in each pause
	is.Equal(gate.open, 0)
	is.True(scheduler.departed >= 1)
}

// refusingBackend may send a call to no endpoint but the first.
type refusingBackend struct{ *timedBackend }

func (refusingBackend) CheckSend(_ *Call, id view.EndpointID) error {
	if id == "e1" {
		return nil
	}
	return errors.New("the list of endpoints is too old")
}

// TestSilentAttemptIsKeptWhileNothingMayBeSent guards against giving up an attempt
// for one that this router may not send.
func TestSilentAttemptIsKeptWhileNothingMayBeSent(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {shortPause, "id: 2\n\n"}}}}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2"}}
	r, stop := newTimedRunner(t, refusingBackend{backend}, scheduler)
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), silentCall(true), out))
	stop()
	is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
	is.Equal(scheduler.results, []schedule.Result{schedule.ResultUnused, schedule.ResultFinished})
}

// TestTimerThatExpiresTwiceBeginsOneSearch guards against a router that ends with a nil
// dereference, because it ran late and the timer of a silence expired again before the
// first expiry was handled.
func TestTimerThatExpiresTwiceBeginsOneSearch(t *testing.T) {
	is := is.New(t)
	r, _ := newTimedRunner(t, &timedBackend{}, &scriptedScheduler{})
	call := silentCall(true)
	call.MaxSilence = forever
	_, w := r.watchSilence(t.Context(), &progress{call: call}, "e1", false)
	w.mu.Lock()
	w.searchAt = time.Now()
	w.mu.Unlock()
	ctx, next, began := w.beginSearch()
	is.True(began)
	_, _, again := w.beginSearch()
	is.True(!again)
	w.searchAgain(ctx, next, errUnreachable) // the first search has found nothing
	w.searches.Done()
	is.True(w.stop() == nil)
}
