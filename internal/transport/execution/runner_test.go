package execution

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
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

// exchange is what a scripted endpoint does with one attempt.
type exchange struct {
	sendErr error
	status  int
	body    string
	readErr error
}

// script is a backend that plays one exchange after the other.
type script struct {
	exchanges []exchange
	attempts  int
}

func (s *script) Send(_ context.Context, _ *Attempt) (Answer, error) {
	x := s.exchanges[min(s.attempts, len(s.exchanges)-1)]
	s.attempts++
	if x.sendErr != nil {
		return nil, x.sendErr
	}
	end := x.readErr
	if end == nil {
		end = io.EOF
	}
	return &scripted{status: x.status, rest: []byte(x.body), end: end}, nil
}

type scripted struct {
	status int
	rest   []byte
	end    error
}

func (a *scripted) Status() int         { return a.status }
func (a *scripted) Header() http.Header { return http.Header{} }
func (a *scripted) Close() error        { return nil }
func (a *scripted) Read(p []byte) (int, error) {
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

type recorder struct {
	bytes.Buffer
	status int
	ended  bool
}

func (r *recorder) Begin(status int, _ http.Header) error { r.status = status; return nil }
func (r *recorder) End() error                            { r.ended = true; return nil }

func newTestRunner(t *testing.T, backend Backend) *Runner {
	t.Helper()
	v := &view.Snapshot{Self: "r", Endpoints: []view.Endpoint{{ID: "e", Pool: "p"}}}
	logger := &log.Logger{Handler: discard.New()}
	s := NewScheduling(baseline.New(baseline.Options{Source: rand.NewPCG(1, 2)}), noPeers{}, logger)
	t.Cleanup(s.Close)
	s.Input(schedule.Change{View: v})
	return NewRunner(s, backend, fixedView{v}, logger)
}

func testCall(idempotent bool) *Call {
	return &Call{
		RequestID: "q", Organisation: &text.Organisation{Name: "o", RetryRatio: 1},
		Service: &text.Service{Name: "s", Kind: text.KindPlain, Pool: "p"},
		Class:   &text.Class{Idempotent: idempotent, MayWait: true}, Deadline: time.Now().Add(time.Minute),
	}
}

func TestRunnerRetriesOnlyWhatIsSafe(t *testing.T) {
	unsent := &NotSentError{Err: errors.New("refused")}
	broken := errors.New("connection reset")
	whole := exchange{status: 200, body: "answer"}
	tests := []struct {
		name       string
		idempotent bool
		exchanges  []exchange
		attempts   int
		answer     string
		notRun     caller.NotRun
		broken     bool
	}{
		{name: "whole answer", exchanges: []exchange{whole}, attempts: 1, answer: "answer"},
		{name: "nothing sent, then whole", exchanges: []exchange{{sendErr: unsent}, whole}, attempts: 2, answer: "answer"},
		{name: "nothing ever sent", exchanges: []exchange{{sendErr: unsent}}, attempts: 3, notRun: caller.NotRunTrue},
		{name: "sent and lost", exchanges: []exchange{{sendErr: broken}, whole}, attempts: 1, notRun: caller.NotRunUnknown},
		{name: "sent and lost, idempotent", idempotent: true, exchanges: []exchange{{sendErr: broken}, whole}, attempts: 2, answer: "answer"},
		{name: "unavailable", exchanges: []exchange{{status: 503, body: "full"}}, attempts: 1, answer: "full"},
		{name: "unavailable, idempotent", idempotent: true, exchanges: []exchange{{status: 503, body: "full"}, whole}, attempts: 2, answer: "answer"},
		{name: "broken before the first byte", exchanges: []exchange{{status: 200, readErr: broken}, whole}, attempts: 1, notRun: caller.NotRunUnknown},
		{name: "broken after the first byte", idempotent: true, exchanges: []exchange{{status: 200, body: "ans", readErr: broken}, whole}, attempts: 1, answer: "ans", broken: true},
		{name: "lost, then never sent", idempotent: true, exchanges: []exchange{{sendErr: broken}, {sendErr: unsent}}, attempts: 3, notRun: caller.NotRunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &script{exchanges: test.exchanges}
			out := &recorder{}
			err := newTestRunner(t, backend).Run(context.Background(), testCall(test.idempotent), out)
			is.Equal(backend.attempts, test.attempts)
			is.Equal(out.String(), test.answer)
			var problem *caller.Problem
			var cut *BrokenError
			is.Equal(errors.As(err, &problem), test.notRun != "")
			is.Equal(errors.As(err, &cut), test.broken)
			is.Equal(out.ended, err == nil) // only a whole answer is ended
			if problem != nil {
				is.Equal(problem.NotRun, test.notRun)
			}
		})
	}
}

func TestWaitEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	r := newTestRunner(t, &script{})
	r.Scheduling.Input(schedule.Change{View: &view.Snapshot{Self: "r", Endpoints: []view.Endpoint{{ID: "e", Pool: "p", Leaving: true}}}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := r.Run(ctx, testCall(true), &recorder{})
	var problem *caller.Problem
	is.True(errors.As(err, &problem))
	is.Equal(problem.NotRun, caller.NotRunTrue)
	is.Equal(r.Scheduling.Waiting(), 0)
}

func TestMeterCountsSplitEvents(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMeter(true, true, now)
	_, due := m.count([]byte("data: a\n"), now)
	is.True(due) // the first part reports the time to the first token
	_, due = m.count([]byte("\ndata: b\n\ndata: c\n\n"), now)
	is.True(!due)
	is.Equal(m.rest(now), 3.0)
}

func TestMeterFindsStatedUsage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMeter(true, false, now)
	m.count([]byte(`{"usage":{"prompt_tokens":3,"completion_`), now)
	m.count([]byte(`tokens": 41}}`), now)
	is.Equal(m.rest(now), 41.0)
}

// TestRestOfAStreamHasATimeOfItsOwn checks that a stream which goes on
// elsewhere isn't judged by the objective for its beginning, which has passed.
func TestRestOfAStreamHasATimeOfItsOwn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	call := &Call{
		Organisation: &text.Organisation{}, Service: &text.Service{}, Class: &text.Class{},
		Objective: now.Add(-time.Second), Deadline: now.Add(10 * time.Second), Stream: true, Resumable: true,
	}
	fresh := request(&progress{call: call}, now)
	is.True(!fresh.Resumes)
	is.Equal(fresh.Objective, call.Objective)
	rest := request(&progress{call: call, events: 3, lastEvent: "3"}, now)
	is.True(rest.Resumes)
	is.True(rest.Objective.After(now))
}
