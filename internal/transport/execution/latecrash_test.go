package execution

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// steppedProber returns its states in turn. It counts the questions whose context had
// ended before.
type steppedProber struct {
	mu        sync.Mutex
	states    []ProcessState // guarded by mu
	notBefore []time.Time    // guarded by mu
	ended     int            // guarded by mu
}

func (p *steppedProber) Probe(ctx context.Context, _ *view.Endpoint, notBefore time.Time) ProcessState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		p.ended++
	}
	p.notBefore = append(p.notBefore, notBefore)
	return p.states[min(len(p.notBefore), len(p.states))-1]
}

// TestCrashRecognisedLateIsReported guards against the loss of the evidence of a crash that
// the first question after a break does not show, and against taking a planned end, or an
// endpoint that only closed a connection, for a crash.
func TestCrashRecognisedLateIsReported(t *testing.T) {
	errMalformed := errors.New("malformed")
	for _, test := range []struct {
		name    string
		end     error
		states  []ProcessState
		leaving bool
		asked   int
		late    bool
	}{
		{"gone at once", io.ErrUnexpectedEOF, []ProcessState{ProcessGone}, false, 1, false},
		{"unknown, then gone", io.ErrUnexpectedEOF, []ProcessState{ProcessUnknown, ProcessGone}, false, 2, true},
		{"unknown, then alive", io.ErrUnexpectedEOF, []ProcessState{ProcessUnknown, ProcessAlive}, false, 2, false},
		{"unknown, then gone as planned", io.ErrUnexpectedEOF, []ProcessState{ProcessUnknown, ProcessGone}, true, 1, false},
		{"closed the connection and lives", io.ErrUnexpectedEOF, []ProcessState{ProcessAlive}, false, 1, false},
		{"crashed after malformed bytes", errMalformed, []ProcessState{ProcessAlive, ProcessGone}, false, 2, true},
		{"malformed bytes only", errMalformed, []ProcessState{ProcessAlive, ProcessAlive}, false, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "part"}}, err: test.end}}}
			r, stop := newTimedRunner(t, backend, &scriptedScheduler{decisions: []view.EndpointID{"e1"}})
			defer stop()
			prober := &steppedProber{states: test.states}
			r.Prober = prober
			reported := make(chan Outcome, 1)
			r.CrashedLate = func(_ *Call, o *Outcome) { reported <- *o }
			call := silentCall(false)
			call.MaxAttempts, call.Class.Idempotent = 0, false
			r.Views = fixedView{&view.Snapshot{Endpoints: []view.Endpoint{{ID: "e1", Leaving: test.leaving}}}}
			is.True(r.Run(t.Context(), call, &recordingSink{}) != nil)
			r.late.running.Wait()
			is.Equal(len(prober.notBefore), test.asked)
			for _, at := range prober.notBefore[1:] {
				is.True(!at.Before(prober.notBefore[0]))
			}
			select {
			case o := <-reported:
				is.True(test.late)
				is.True(o.Crashed)
				is.Equal(o.Result, schedule.ResultBroken)
				is.True(o.EndedAt.Before(prober.notBefore[0]))
			default:
				is.True(!test.late)
			}
			r.Close()
		})
	}
}

// TestCrashCountsAlthoughItsCallHasEnded guards against the loss of the evidence of a crash
// because the deadline of the call passes while its endpoint is examined.
func TestCrashCountsAlthoughItsCallHasEnded(t *testing.T) {
	is := is.New(t)
	r, stop := newTimedRunner(t, &timedBackend{}, &scriptedScheduler{})
	defer stop()
	prober := &steppedProber{states: []ProcessState{ProcessGone}}
	r.Prober = prober
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	now := time.Now()
	is.Equal(r.examineBreak(ctx, &Attempt{Endpoint: view.Endpoint{ID: "e1"}, Call: silentCall(true), EndedAt: now}, now, false, io.EOF), ProcessGone)
	is.Equal(prober.ended, 0)
}

// TestLateExaminationsEndWithTheRunner guards against examinations that outlast the runner,
// and against an unbounded number of them.
func TestLateExaminationsEndWithTheRunner(t *testing.T) {
	is := is.New(t)
	r, stop := newTimedRunner(t, &timedBackend{}, &scriptedScheduler{})
	defer stop()
	prober := &waitingProber{}
	r.Prober, r.CrashedLate = prober, func(*Call, *Outcome) { t.Error("a crash is reported") }
	for range maxLateProbes + 10 {
		r.probeLater(&Attempt{Call: silentCall(true), EndedAt: time.Now()}, Outcome{}, ProcessUnknown, io.EOF)
	}
	r.late.mu.Lock()
	is.Equal(len(r.late.cancels), maxLateProbes)
	r.late.mu.Unlock()
	r.Close()
	is.Equal(len(r.late.cancels), 0)
	r.probeLater(&Attempt{Call: silentCall(true), EndedAt: time.Now()}, Outcome{}, ProcessUnknown, io.EOF)
	is.Equal(len(r.late.cancels), 0)
}

// waitingProber gets no answer.
type waitingProber struct{}

func (*waitingProber) Probe(ctx context.Context, _ *view.Endpoint, _ time.Time) ProcessState {
	<-ctx.Done()
	return ProcessUnknown
}
