package execution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

const (
	// maxAttempts bounds the tries of one call, whatever the budget allows.
	maxAttempts = 4
	// copyBytes is the size of the buffer between endpoint and caller.
	copyBytes = 16 << 10
	// resumeWithin is the time in which the rest of a stream must go on. Callers
	// give up after some two seconds without an event, of which the silence
	// that ended the attempt before has taken a part.
	resumeWithin = 600 * time.Millisecond
	// retryPause is what a refused caller is told to wait when the scheduler
	// names no instant.
	retryPause = time.Second
)

// BrokenError says that an answer broke off after it had begun.
type BrokenError struct{ Err error }

// Error describes what broke the answer.
func (e *BrokenError) Error() string { return fmt.Sprintf("the answer broke off: %v", e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// sinkError says that the caller's side of a call failed, not the endpoint.
type sinkError struct{ Err error }

// Error describes the failure.
func (e *sinkError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.Err }

// Watcher is told of every attempt, before it is sent and after it has ended.
type Watcher interface {
	AttemptStarted(a *Attempt)
	AttemptEnded(a *Attempt, result schedule.Result, err error)
}

// Gate keeps requests that crash endpoints from running like others. Its
// methods are called for every try.
type Gate interface {
	// Admit waits until the call may run and tells whether it must run alone.
	// The error is a *caller.Problem or the context's.
	Admit(ctx context.Context, c *Call) (alone bool, err error)
	// Holds reports whether an admission still holds; it is asked right
	// before the call is sent.
	StillAdmitted(c *Call, alone bool) bool
	// Over says that an admitted try has ended; the endpoint is empty if
	// nothing was sent.
	Done(c *Call, endpoint view.EndpointID, result schedule.Result)
}

// openGate admits every call.
type openGate struct{}

// Admit admits the call.
func (openGate) Admit(context.Context, *Call) (bool, error) { return false, nil }

// Holds always does.
func (openGate) StillAdmitted(*Call, bool) bool { return true }

// Over does nothing.
func (openGate) Done(*Call, view.EndpointID, schedule.Result) {}

// Views returns the fleet as it is known now.
type Views interface {
	View() *view.Snapshot
}

// Runner runs admitted calls.
type Runner struct {
	Scheduling *Scheduling
	Backend    Backend
	Views      Views
	Watchers   []Watcher
	Gate       Gate
	Budget     RetryBudget
	Logger     log.Interface
}

// NewRunner returns a runner over the given parts.
func NewRunner(scheduling *Scheduling, backend Backend, views Views, logger log.Interface, watchers ...Watcher) *Runner {
	return &Runner{
		Scheduling: scheduling, Backend: backend, Views: views, Watchers: watchers,
		Gate: openGate{}, Budget: newBudget(), Logger: logger,
	}
}

// Run runs the call and writes its answer to the sink. It returns nil after a
// whole answer, a *caller.Problem if no answer has begun, and a *BrokenError if
// one had begun and broke off.
func (r *Runner) Run(ctx context.Context, c *Call, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r.Budget.Deposit(c)
	out := &begun{Sink: sink}
	p := &progress{call: c, lastEvent: c.LastEvent}
	for {
		start, err := r.admit(ctx, p)
		if err != nil {
			if out.started {
				return &BrokenError{Err: err}
			}
			return refusal(c, err, p.ran)
		}
		result, err := r.attempt(ctx, p, start, out)
		r.Gate.Done(c, start.Endpoint, result)
		if err == nil {
			return nil
		}
		p.failed(start.Endpoint, result)
		mayGoOn := !out.started || p.resumes()
		if ctx.Err() != nil || !mayGoOn || !r.mayRetry(p, result) {
			if out.started {
				return &BrokenError{Err: err}
			}
			return failure(c, err, p.ran)
		}
		r.Logger.WithFields(log.Fields{
			"RequestID": c.RequestID, "Organisation": c.Organisation.Name, "Tries": p.tries, "Result": result,
			"LastEvent": p.lastEvent, "Error": err,
		}).Info("AttemptRetried")
	}
}

// admit waits until the call may run and has a place to run. What is learnt
// about the call while it waits for the place makes it wait anew.
func (r *Runner) admit(ctx context.Context, p *progress) (schedule.Start, error) {
	c := p.call
	for {
		alone, err := r.Gate.Admit(ctx, c)
		if err != nil {
			return schedule.Start{}, err
		}
		c.Exclusive = alone
		start, err := r.Scheduling.Wait(ctx, request(p, time.Now()))
		if err != nil {
			r.Gate.Done(c, "", schedule.ResultNotSent)
			return schedule.Start{}, err
		}
		if r.Gate.StillAdmitted(c, alone) {
			return start, nil
		}
		r.Scheduling.Input(schedule.Completion{ID: start.ID, Result: schedule.ResultNotSent})
		r.Gate.Done(c, "", schedule.ResultNotSent)
	}
}

// mayRetry allows a further attempt only where it is surely safe: nothing ran,
// or the request is idempotent. What never reached an endpoint costs nothing of
// the budget where endpoints are what it protects.
func (r *Runner) mayRetry(p *progress, result schedule.Result) bool {
	if p.paid {
		p.paid = false
		return true
	}
	if p.tries >= maxAttempts {
		return false
	}
	if p.ran && !p.call.Class.Idempotent {
		return false
	}
	if p.call.MaxAttempts > 0 {
		if result == schedule.ResultNotSent {
			return true
		}
		if p.arrived >= p.call.MaxAttempts {
			return false
		}
	}
	return r.Budget.Withdraw(p.call)
}

func request(p *progress, now time.Time) schedule.Request {
	c := p.call
	r := schedule.Request{
		Organisation: c.Organisation.Name,
		Service:      c.Service.Name,
		Pool:         c.Service.Pool,
		Model:        c.Model,
		Urgency:      c.Urgency,
		MayWait:      c.Class.MayWait,
		Estimate:     c.Class.EstimatedCost,
		Deadline:     c.Deadline,
		Objective:    c.Objective,
		Prompt:       c.Prompt,
		Tried:        p.tried,
		Prefix:       c.Prefix,
		BodyBytes:    int64(len(c.Body)),
		Exclusive:    c.Exclusive,
		Nested:       c.Parent != "",
		Resumes:      p.resumes(),
	}
	if r.Resumes {
		// The objective was for the beginning of the answer.
		r.Objective = now.Add(resumeWithin)
	}
	return r
}

// attempt sends the call to the endpoint that the scheduler chose and copies
// the answer. It always ends the start with a Completion.
func (r *Runner) attempt(ctx context.Context, p *progress, start schedule.Start, out *begun) (schedule.Result, error) {
	c := p.call
	meter := newMeter(c.Service.Kind == text.KindModel, c.Stream, time.Now())
	a := &Attempt{ID: c.AttemptID, Call: c, LastEvent: p.lastEvent}
	if a.ID == "" {
		a.ID = uuid.NewString()
	}
	result, err := schedule.ResultNotSent, error(nil)
	if e, ok := findEndpoint(r.Views.View(), start.Endpoint); ok && (c.MaxAttempts == 0 || !e.Leaving) {
		a.Endpoint = e
		r.logStart(a, start)
		for _, w := range r.Watchers {
			w.AttemptStarted(a)
		}
		result, err = r.exchange(ctx, a, start.ID, meter, out, p)
		for _, w := range r.Watchers {
			w.AttemptEnded(a, result, err)
		}
	} else {
		err = fmt.Errorf("endpoint %s has gone from the view", start.Endpoint)
	}
	now := time.Now()
	r.Scheduling.Input(schedule.Completion{
		ID: start.ID, Result: result, Service: meter.rest(now), Elapsed: now.Sub(meter.begin),
	})
	return result, err
}

func (r *Runner) logStart(a *Attempt, start schedule.Start) {
	r.Logger.WithFields(log.Fields{
		"RequestID": a.Call.RequestID, "Attempt": a.ID, "Organisation": a.Call.Organisation.Name,
		"Service": a.Call.Service.Name, "Endpoint": start.Endpoint, "Reason": start.Reason,
	}).Info("RequestRouted")
}

func findEndpoint(v *view.Snapshot, id view.EndpointID) (view.Endpoint, bool) {
	for i := range v.Endpoints {
		if v.Endpoints[i].ID == id {
			return v.Endpoints[i], true
		}
	}
	return view.Endpoint{}, false
}

// exchange sends the attempt and copies the answer to the sink.
func (r *Runner) exchange(ctx context.Context, a *Attempt, id schedule.RequestID, m *meter, out *begun, p *progress) (schedule.Result, error) {
	ctx, watch := newWatchdog(ctx, a.Call.MaxSilence)
	defer watch.stop()
	answer, err := r.Backend.Send(ctx, a)
	if err != nil {
		return watch.result(sendResult(ctx, err)), fmt.Errorf("send attempt %s to endpoint %s: %w", a.ID, a.Endpoint.ID, err)
	}
	defer func() { _ = answer.Close() }()
	watch.heard()
	if rejected(a.Call, answer) {
		return schedule.ResultRejected, fmt.Errorf("endpoint %s answered status %d: it has not run the attempt", a.Endpoint.ID, answer.Status())
	}
	if a.Call.RetryServerErrors && answer.Status() >= http.StatusInternalServerError && r.mayRetry(p.after(schedule.ResultFailed), schedule.ResultFailed) {
		p.paid = true
		return schedule.ResultFailed, fmt.Errorf("endpoint %s answered status %d", a.Endpoint.ID, answer.Status())
	}
	switch {
	case a.Call.Events && answer.Status() < http.StatusMultipleChoices:
		err = r.copyEvents(ctx, answer, newPace(m.begin, r.Scheduling, id), watch, out, p)
	case out.started:
		err = fmt.Errorf("the answer to a resumed stream has status %d", answer.Status())
	default:
		err = r.copyAnswer(ctx, answer, id, m, out)
	}
	if err != nil {
		var gone *sinkError
		if errors.As(err, &gone) {
			return schedule.ResultCancelled, fmt.Errorf("pass on answer of endpoint %s: %w", a.Endpoint.ID, err)
		}
		result := schedule.ResultBroken
		if ctx.Err() != nil {
			result = schedule.ResultCancelled
		}
		return watch.result(result), fmt.Errorf("read answer of endpoint %s: %w", a.Endpoint.ID, err)
	}
	if answer.Status() >= http.StatusInternalServerError && a.Call.MaxAttempts > 0 {
		return schedule.ResultFailed, nil
	}
	return schedule.ResultFinished, nil
}

// rejected reports whether the endpoint says that it has not run the attempt.
func rejected(c *Call, answer Answer) bool {
	if a, ok := answer.(RejectionReporter); ok {
		return a.Rejected()
	}
	return c.Class.Idempotent && rejects(c, answer.Status())
}

// rejects reports whether a status says that the endpoint did not run the
// call: it is full, or an engine that no longer holds the model.
func rejects(c *Call, status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusNotFound && c.Service.Kind == text.KindModel
}

func sendResult(ctx context.Context, err error) schedule.Result {
	switch {
	case notSent(err):
		return schedule.ResultNotSent
	case ctx.Err() != nil:
		return schedule.ResultCancelled
	default:
		return schedule.ResultBroken
	}
}

// copyBuffers holds the buffers between endpoints and callers, which would
// otherwise be most of the garbage.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyAnswer holds back the head until the first bytes have come, so that an
// answer that breaks before them can still be retried.
func (r *Runner) copyAnswer(ctx context.Context, answer Answer, id schedule.RequestID, m *meter, out *begun) error {
	pooled := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := answer.Read(buffer)
		whole := errors.Is(err, io.EOF)
		if err != nil && !whole {
			return err
		}
		if !out.started {
			if err := out.Begin(answer.Status(), answer.Header()); err != nil {
				return &sinkError{fmt.Errorf("begin the answer to the caller: %w", err)}
			}
		}
		if n > 0 {
			if p, due := m.count(buffer[:n], time.Now()); due {
				p.ID = id
				r.Scheduling.Input(p)
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				return &sinkError{fmt.Errorf("write the answer to the caller: %w", err)}
			}
		}
		if whole {
			return out.End()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// refusal describes a call that ended while it waited.
func refusal(c *Call, err error, sent bool) *caller.Problem {
	var told *caller.Problem
	if errors.As(err, &told) {
		return told
	}
	now := time.Now()
	p := &caller.Problem{
		Title: "The request was refused", Status: http.StatusServiceUnavailable, Detail: err.Error(),
		NotRun: notRun(sent), Step: "Schedule", RequestID: c.RequestID, RetryAt: now.Add(retryPause),
	}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		if !refused.RetryAt.IsZero() {
			p.RetryAt = refused.RetryAt
		}
		switch refused.Reason {
		case schedule.RefusalOverload:
			p.Status = http.StatusTooManyRequests
		case schedule.RefusalDeadline:
			p.Status = http.StatusGatewayTimeout
		}
	case errors.Is(err, context.DeadlineExceeded):
		p.Status = http.StatusGatewayTimeout
	}
	return p
}

// failure describes a call whose last attempt failed before an answer began.
func failure(c *Call, err error, sent bool) *caller.Problem {
	status := http.StatusBadGateway
	// A dial that times out ends, by chance, with a context's error or with
	// one of the socket; both say that they are timeouts.
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		status = http.StatusGatewayTimeout
	}
	return &caller.Problem{
		Title: "The endpoint did not answer", Status: status, Detail: err.Error(),
		NotRun: notRun(sent), Step: "Execute", RequestID: c.RequestID, RetryAt: time.Now().Add(retryPause),
	}
}

func notRun(sent bool) caller.NotRun {
	if sent {
		return caller.NotRunUnknown
	}
	return caller.NotRunTrue
}
