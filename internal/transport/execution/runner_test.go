package execution

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"hyssopreach/internal/coordination/baseline"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// scriptedExchange is the scripted outcome of one attempt.
type scriptedExchange struct {
	sendErr error
	status  int
	body    string
	readErr error
}

// scriptedBackend is a backend that plays one exchange per attempt and repeats
// the last one.
type scriptedBackend struct {
	exchanges []scriptedExchange
	attempts  int
}

func (s *scriptedBackend) Send(_ context.Context, _ *Attempt) (Answer, error) {
	x := s.exchanges[min(s.attempts, len(s.exchanges)-1)]
	s.attempts++
	if x.sendErr != nil {
		return nil, x.sendErr
	}
	end := x.readErr
	if end == nil {
		end = io.EOF
	}
	return &scriptedAnswer{status: x.status, rest: []byte(x.body), end: end}, nil
}

type scriptedAnswer struct {
	status int
	rest   []byte
	end    error
}

func (a *scriptedAnswer) Status() int         { return a.status }
func (a *scriptedAnswer) Header() http.Header { return http.Header{} }
func (a *scriptedAnswer) Close() error        { return nil }
func (a *scriptedAnswer) Read(p []byte) (int, error) {
	if len(a.rest) == 0 {
		return 0, a.end
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

type fixedView struct{ s *view.Snapshot }

func (f fixedView) View() *view.Snapshot { return f.s }

type noPeers struct{}

func (noPeers) SendScheduler(view.RouterID, schedule.Message) {}

type recordingSink struct {
	bytes.Buffer
	status   int
	complete bool
}

func (r *recordingSink) Begin(status int, _ http.Header) error { r.status = status; return nil }
func (r *recordingSink) End() error                            { r.complete = true; return nil }

func newTestRunner(t *testing.T, backend Backend) *Runner {
	t.Helper()
	v := &view.Snapshot{Self: "r", Endpoints: []view.Endpoint{{ID: "e", Pool: "p"}}}
	logger := &log.Logger{Handler: discard.New()}
	s := NewScheduling(baseline.New(baseline.Options{Source: rand.NewPCG(1, 2)}), noPeers{}, logger)
	t.Cleanup(s.Close)
	s.Input(schedule.Change{View: v})
	return NewRunner(s, backend, fixedView{v}, admitAllGate{}, NewBudget(), logger)
}

// admitAllGate admits every call.
type admitAllGate struct{}

func (admitAllGate) Admit(context.Context, *Call) (bool, error)             { return false, nil }
func (admitAllGate) StillAdmitted(*Call, bool) bool                         { return true }
func (admitAllGate) Done(*Call, *Outcome) (confirmed func(context.Context)) { return nil }

func testCall(idempotent bool) *Call {
	return &Call{
		RequestID: "q", Organisation: &text.Organisation{Name: "o", RetryRatio: 1},
		Service: &text.Service{Name: "s", Kind: text.KindPlain, Pool: "p"},
		Class:   &text.Class{Idempotent: idempotent, MayWait: true}, Deadline: time.Now().Add(time.Minute),
	}
}

// TestRunnerRetriesOnlyWhenSafe guards against a call that runs twice although
// it is not idempotent, a refusal that wrongly states that nothing ran, and a
// broken answer that is ended as complete.
func TestRunnerRetriesOnlyWhenSafe(t *testing.T) {
	unsent := &NotSentError{Err: errors.New("refused")}
	broken := errors.New("connection reset")
	completeAnswer := scriptedExchange{status: 200, body: "answer"}
	beginning := strings.Repeat("x", copyBytes)
	tests := []struct {
		name       string
		idempotent bool
		exchanges  []scriptedExchange
		attempts   int
		answer     string
		notRun     caller.NotRun
		broken     bool
	}{
		{name: "complete answer", exchanges: []scriptedExchange{completeAnswer}, attempts: 1, answer: "answer"},
		{name: "not sent, then complete", exchanges: []scriptedExchange{{sendErr: unsent}, completeAnswer}, attempts: 2, answer: "answer"},
		{name: "never sent", exchanges: []scriptedExchange{{sendErr: unsent}}, attempts: 3, notRun: caller.NotRunTrue},
		{name: "connection lost after sending", exchanges: []scriptedExchange{{sendErr: broken}, completeAnswer}, attempts: 1, notRun: caller.NotRunUnknown},
		{name: "connection lost after sending, idempotent", idempotent: true, exchanges: []scriptedExchange{{sendErr: broken}, completeAnswer}, attempts: 2, answer: "answer"},
		{name: "status 503", exchanges: []scriptedExchange{{status: 503, body: "full"}}, attempts: 1, answer: "full"},
		{name: "status 503, idempotent", idempotent: true, exchanges: []scriptedExchange{{status: 503, body: "full"}, completeAnswer}, attempts: 2, answer: "answer"},
		{name: "broken before the first byte", exchanges: []scriptedExchange{{status: 200, readErr: broken}, completeAnswer}, attempts: 1, notRun: caller.NotRunUnknown},
		{name: "broken after the first byte", exchanges: []scriptedExchange{{status: 200, body: "ans", readErr: broken}, completeAnswer}, attempts: 1, notRun: caller.NotRunUnknown},
		{name: "broken after the first byte, idempotent", idempotent: true, exchanges: []scriptedExchange{{status: 200, body: "ans", readErr: broken}, completeAnswer}, attempts: 2, answer: "answer"},
		{name: "broken after the answer has begun", idempotent: true, exchanges: []scriptedExchange{{status: 200, body: beginning, readErr: broken}, completeAnswer}, attempts: 1, answer: beginning, broken: true},
		{name: "connection lost, then never sent", idempotent: true, exchanges: []scriptedExchange{{sendErr: broken}, {sendErr: unsent}}, attempts: 3, notRun: caller.NotRunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &scriptedBackend{exchanges: test.exchanges}
			out := &recordingSink{}
			err := newTestRunner(t, backend).Run(context.Background(), testCall(test.idempotent), out)
			is.Equal(backend.attempts, test.attempts)
			is.Equal(out.String(), test.answer)
			var problem *caller.Problem
			var brokenErr *BrokenError
			is.Equal(errors.As(err, &problem), test.notRun != "")
			is.Equal(errors.As(err, &brokenErr), test.broken)
			is.Equal(out.complete, err == nil) // only a complete answer is ended
			if problem != nil {
				is.Equal(problem.NotRun, test.notRun)
			}
		})
	}
}

// TestUnreachedEndpointsUseUpNoAttempts guards against giving up a call because most
// endpoints of its service have just ended, although others would serve it.
func TestUnreachedEndpointsUseUpNoAttempts(t *testing.T) {
	unsent, broken := scriptedExchange{sendErr: &NotSentError{Err: errors.New("refused")}}, scriptedExchange{sendErr: errors.New("connection reset")}
	completeAnswer := scriptedExchange{status: 200, body: "answer"}
	for _, test := range []struct {
		name      string
		exchanges []scriptedExchange
		attempts  int
		served    bool
	}{
		{"none reached at first", []scriptedExchange{unsent, unsent, unsent, unsent, unsent, completeAnswer}, 6, true},
		{"broken between", []scriptedExchange{unsent, unsent, broken, unsent, unsent, completeAnswer}, 6, true},
		{"broken too often", []scriptedExchange{unsent, broken, unsent, broken, completeAnswer}, 4, false},
		{"none ever reached", []scriptedExchange{unsent}, maxUnreached, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &scriptedBackend{exchanges: test.exchanges}
			call := testCall(true)
			call.MaxAttempts = 2
			err := newTestRunner(t, backend).Run(context.Background(), call, &recordingSink{})
			is.Equal(backend.attempts, test.attempts)
			is.Equal(err == nil, test.served)
		})
	}
}

// TestCancelledContextEndsWait checks that a call whose context is cancelled
// stops waiting for capacity and leaves no waiter behind.
func TestCancelledContextEndsWait(t *testing.T) {
	is := is.New(t)
	r := newTestRunner(t, &scriptedBackend{})
	r.Scheduling.Input(schedule.Change{View: &view.Snapshot{Self: "r", Endpoints: []view.Endpoint{{ID: "e", Pool: "p", Leaving: true}}}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := r.Run(ctx, testCall(true), &recordingSink{})
	var problem *caller.Problem
	is.True(errors.As(err, &problem))
	is.Equal(problem.NotRun, caller.NotRunTrue)
	is.Equal(r.Scheduling.Waiting(), 0)
}

// TestMeterCountsSplitEvents checks that an event is counted if its separator is
// split between two reads.
func TestMeterCountsSplitEvents(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMeter(true, true, now)
	_, due := m.count([]byte("data: a\n"), now)
	is.True(due) // the first part reports the time to the first token
	_, due = m.count([]byte("\ndata: b\n\ndata: c\n\n"), now)
	is.True(!due)
	is.Equal(m.unreportedService(now), 3.0)
}

// TestMeterReadsCompletionTokens checks that the token usage at the end of an
// answer is found if it is split between two reads.
func TestMeterReadsCompletionTokens(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMeter(true, false, now)
	m.count([]byte(`{"usage":{"prompt_tokens":3,"completion_`), now)
	m.count([]byte(`tokens": 41}}`), now)
	is.Equal(m.unreportedService(now), 41.0)
}

// TestResumedStreamGetsNewObjective guards against scheduling a resumed stream
// by the objective for its beginning, which has passed by then.
func TestResumedStreamGetsNewObjective(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	call := &Call{
		Organisation: &text.Organisation{}, Service: &text.Service{}, Class: &text.Class{},
		Objective: now.Add(-time.Second), Deadline: now.Add(10 * time.Second), Stream: true, Resumable: true,
	}
	fresh := newScheduleRequest(&progress{call: call}, now)
	is.True(!fresh.Resumes)
	is.Equal(fresh.Objective, call.Objective)
	rest := newScheduleRequest(&progress{call: call, events: 3, lastEvent: "3"}, now)
	is.True(rest.Resumes)
	is.True(rest.Objective.After(now))
}

// admitOnceGate admits the first attempt of a call and refuses the others.
type admitOnceGate struct {
	admitAllGate
	admitted bool
}

func (g *admitOnceGate) Admit(context.Context, *Call) (bool, error) {
	if g.admitted {
		return false, &caller.Problem{Title: "refused", Status: http.StatusServiceUnavailable, NotRun: caller.NotRunTrue}
	}
	g.admitted = true
	return false, nil
}

// TestRefusedResumptionIsNoRefusal guards against a refusal that is written into
// an answer which has begun, and so ends it as if it were complete.
func TestRefusedResumptionIsNoRefusal(t *testing.T) {
	is := is.New(t)
	backend := &scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: "id: 1\n\n", readErr: errors.New("connection reset")}}}
	r := newTestRunner(t, backend)
	r.Gate = &admitOnceGate{}
	call := testCall(true)
	call.Stream, call.Events, call.Resumable = true, true, true
	out := &recordingSink{}
	err := r.Run(context.Background(), call, out)
	var problem *caller.Problem
	var broken *BrokenError
	is.True(errors.As(err, &broken))
	is.True(!errors.As(err, &problem))
	is.True(!out.complete)
	is.Equal(out.String(), "id: 1\n\n")
}

// TestRefusedRetryDoesNotClaimNotRun guards against a refusal of a retry that
// says the request has not run, although the first attempt may have run.
func TestRefusedRetryDoesNotClaimNotRun(t *testing.T) {
	is := is.New(t)
	r := newTestRunner(t, &scriptedBackend{exchanges: []scriptedExchange{{sendErr: errors.New("connection reset")}}})
	r.Gate = &admitOnceGate{}
	err := r.Run(context.Background(), testCall(true), &recordingSink{})
	var problem *caller.Problem
	is.True(errors.As(err, &problem))
	is.Equal(problem.NotRun, caller.NotRunUnknown)
}

// TestErrorStatusOfStreamThatBreaksOffIsReplaced guards against a request for a stream that
// gets neither an answer nor a failure, because its endpoint answers with an error status and
// breaks off the body, which is no stream.
func TestErrorStatusOfStreamThatBreaksOffIsReplaced(t *testing.T) {
	cut := scriptedExchange{status: http.StatusNotFound, body: "no such", readErr: errors.New("connection reset")}
	const events = "id: 1\n\n"
	for _, test := range []struct {
		name               string
		idempotent, events bool
		answer             string
		attempts           int
	}{
		{"events", false, true, "", 1},
		{"events, idempotent", true, true, events, 2},
		{"model", false, false, "", 1},
		{"model, idempotent", true, false, events, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &scriptedBackend{exchanges: []scriptedExchange{cut, {status: http.StatusOK, body: events}}}
			call := testCall(test.idempotent)
			call.Stream, call.Events = true, test.events
			out := &recordingSink{}
			err := newTestRunner(t, backend).Run(t.Context(), call, out)
			is.Equal(backend.attempts, test.attempts)
			is.Equal(out.String(), test.answer)
			is.Equal(out.complete, err == nil)
			var problem *caller.Problem
			is.Equal(errors.As(err, &problem), !test.idempotent)
			if problem != nil {
				is.Equal(problem.Status, http.StatusBadGateway)
				is.Equal(problem.NotRun, caller.NotRunUnknown)
			}
		})
	}
}
