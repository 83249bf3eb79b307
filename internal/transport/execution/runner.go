package execution

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/memory"
)

const (
	// maxAttempts bounds the attempts of one call, even if the retry budget
	// allows more. For a call with MaxAttempts it bounds those that reached an
	// endpoint, and maxUnreached the others; see also attemptsLeft.
	maxAttempts  = 4
	maxUnreached = 8
	// copyBytes is the size of the buffer between endpoint and caller.
	copyBytes = 16 << 10
	// defaultRetryDelay is the delay that a refused caller is asked to wait if
	// the scheduler specifies no time.
	defaultRetryDelay = time.Second
)

// sinkError reports that the answer could not be written to the caller, as
// opposed to a failure of the endpoint.
type sinkError struct{ Err error }

// Error describes the failure.
func (e *sinkError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.Err }

// Watcher is notified of every attempt before it is sent and after it has
// ended.
type Watcher interface {
	AttemptStarted(a *Attempt)
	AttemptEnded(a *Attempt, result schedule.Result, err error)
}

// Gate restricts how requests suspected of crashing endpoints run. Its methods
// are called for every attempt.
type Gate interface {
	// Admit waits until the call may run and reports whether it must run
	// exclusively (see Call.Exclusive). The error is a *caller.Problem or the
	// context's error.
	Admit(ctx context.Context, c *Call) (exclusive bool, err error)
	// StillAdmitted reports whether an admission is still valid. It is called
	// right before the call is sent.
	StillAdmitted(c *Call, exclusive bool) bool
	// Done ends an admission. If the failure has to be reported to other routers, it
	// returns a function that waits until they know, or until the context ends. It
	// is called before the caller learns of the failure, because the caller may
	// then send the request again through any of them.
	Done(c *Call, o *Outcome) (confirmed func(context.Context))
}

// Outcome is the end of an admission.
type Outcome struct {
	// Endpoint is the one that the scheduler assigned to the call; empty if the
	// call stopped waiting, or the admission became invalid, before an attempt.
	Endpoint view.EndpointID
	Result   schedule.Result
	// Crashed is set if the process of the endpoint is known to have ended,
	// unplanned, while it ran the attempt.
	Crashed bool
	// EndedAt is when the answer ended or broke off; zero if nothing was sent.
	EndedAt time.Time
	// Status is the status of the answer; zero if its head has not arrived.
	Status int
	// BeganAt is when the attempt began, AnsweredAt when its answer did, and
	// FirstEventAt when the first event of the stream arrived; zero if it has not.
	BeganAt, AnsweredAt, FirstEventAt time.Time
}

// Views provides the router's current view of the fleet.
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
	// EndpointsAge returns the age of the list of endpoints, for the log; nil if
	// it is unknown.
	EndpointsAge func() time.Duration
	// Late reports whether this process runs late; see schedule.Progress. If it is
	// nil, the process is taken to run on time.
	Late func() bool
	// ReadInterval returns the shortest time between two reads of a stream whose answer
	// has begun; 0 to read as events arrive. Nil stands for 0.
	ReadInterval func() time.Duration
	// Prober examines endpoints at which attempts broke off; nil to examine none.
	Prober Prober
	// ReopensAt returns the earliest instant at which an endpoint of a pool takes requests,
	// zero if one does so now; nil if endpoints never ask for time.
	ReopensAt func(pool string) time.Time
	// CrashedLate is called for an attempt that broke off at an endpoint whose crash was
	// recognised only after the attempt had been reported to the gate; nil to call nothing.
	CrashedLate func(*Call, *Outcome)
	// Survived is called for a stream whose endpoint has sent events for SurvivalTime;
	// nil to call nothing.
	Survived func(*Call)
	// AnswerMemory limits the memory of the unfinished events of all streams; nil to limit
	// only that of each.
	AnswerMemory *memory.Limiter

	late lateProbes
}

// NewRunner returns a Runner. The gate and the budget have no defaults, so that a
// router cannot be composed without them by oversight.
func NewRunner(scheduling *Scheduling, backend Backend, views Views, gate Gate, budget RetryBudget, logger log.Interface, watchers ...Watcher) *Runner {
	return &Runner{
		Scheduling: scheduling, Backend: backend, Views: views, Watchers: watchers, Gate: gate, Budget: budget, Logger: logger,
	}
}

// Run runs the call and writes its answer to the sink. It returns nil after a
// complete answer, a *caller.Problem if no answer has begun, and a *BrokenError
// if an answer has begun and broken off.
func (r *Runner) Run(ctx context.Context, c *Call, sink Sink) error {
	ctx, limit := limitAnswer(ctx, c)
	defer limit.stop()
	r.Budget.Deposit(c)
	out := &sinkTracker{Sink: sink}
	p := &progress{call: c, limit: limit, lastEvent: c.LastEvent, lastEventAt: time.Now()}
	for {
		start, err := r.next(ctx, p)
		if err != nil {
			p.awaitConfirmation(ctx)
			if out.started {
				return p.broken(admitCause(ctx, err), err)
			}
			if sent, sendErr := r.sendRetained(ctx, p, out, err); sent {
				return sendErr
			}
			return refusal(c, limit.explain(err), p.mayHaveRun)
		}
		outcome, err := r.attempt(ctx, p, start, out)
		if confirmed := r.Gate.Done(c, &outcome); confirmed != nil {
			p.confirmed = confirmed
		}
		if err == nil {
			r.releaseContinuation(p)
			return nil
		}
		if !out.started {
			limit.answerFailed()
		}
		if p.waitUntilNotWithheld(ctx, err) {
			continue
		}
		result := outcome.Result
		p.recordFailure(start.Endpoint, result)
		if cause := r.endCause(ctx, p, out, result, err); cause != "" {
			r.releaseContinuation(p)
			p.awaitConfirmation(ctx)
			if out.started {
				return p.broken(cause, err)
			}
			if sent, sendErr := r.sendRetained(ctx, p, out, err); sent {
				return sendErr
			}
			return failure(c, limit.explain(err), p.mayHaveRun)
		}
		r.Logger.WithFields(log.Fields{
			"RequestID": c.RequestID, "Organisation": c.Organisation.Name, "Tries": p.attempts, "Result": result,
			"LastEvent": p.lastEvent, "Error": err,
		}).Info("AttemptRetried")
	}
}

// admit waits until the gate admits the call and the scheduler starts it. If
// the admission has become invalid while the call waited for the scheduler,
// because of new evidence about the call, admit begins again.
func (r *Runner) admit(ctx context.Context, p *progress) (schedule.Start, error) {
	c := p.call
	for {
		exclusive, err := r.Gate.Admit(ctx, c)
		if err != nil {
			return schedule.Start{}, err
		}
		c.Exclusive = exclusive
		start, err := r.Scheduling.Wait(ctx, newScheduleRequest(p, time.Now()))
		if err != nil {
			r.Gate.Done(c, &Outcome{Result: schedule.ResultNotSent})
			return schedule.Start{}, err
		}
		if r.Gate.StillAdmitted(c, exclusive) {
			return start, nil
		}
		r.release(c, &start, schedule.ResultUnused)
	}
}

// retryDenied returns why no further attempt is allowed. If it returns nothing, the
// attempt is taken from the retry budget unless it has been reserved before. A
// retry is allowed only if it is certainly safe: no attempt can have run, or the
// call is idempotent. For a call with MaxAttempts, the retry budget protects the
// endpoints from load. Therefore a retry after an attempt that did not reach an
// endpoint takes nothing from the budget.
func (r *Runner) retryDenied(p *progress, result schedule.Result) BreakCause {
	if p.retryReserved {
		p.retryReserved = false
		return ""
	}
	switch {
	case p.mayHaveRun && !p.call.Class.Idempotent:
		return CauseEndpoint
	case !r.attemptsLeft(p, result):
		return CauseAttempts
	case p.call.MaxAttempts > 0 && result == schedule.ResultNotSent:
		return ""
	case !r.Budget.Withdraw(p.call):
		return CauseRetryBudget
	}
	return ""
}

// attemptsLeft reports whether the limits on attempts allow one more after an
// attempt with the given result. A stream that has begun is not ended because
// endpoints reject its continuation, which they have not run: only its runs count
// towards MaxAttempts. See next for the limit on rejections.
func (r *Runner) attemptsLeft(p *progress, result schedule.Result) bool {
	switch {
	case p.call.MaxAttempts == 0:
		return p.attempts < maxAttempts
	case result == schedule.ResultNotSent:
		return p.attempts-p.sentAttempts < maxUnreached
	case p.canResume():
		return p.sentAttempts-p.rejectedAttempts < min(p.call.MaxAttempts, maxAttempts)
	default:
		return p.sentAttempts < min(p.call.MaxAttempts, maxAttempts)
	}
}

func newScheduleRequest(p *progress, now time.Time) schedule.Request {
	c := p.call
	r := schedule.Request{
		Organisation: c.Organisation.Name,
		Service:      c.Service.Name,
		Class:        c.Class.Name,
		Pool:         c.Service.Pool,
		Model:        c.Model,
		Urgency:      c.Urgency,
		MayWait:      c.Class.MayWait,
		Estimate:     c.Class.EstimatedCost,
		Deadline:     c.Deadline,
		Objective:    c.Objective,
		Prompt:       c.Prompt,
		Tried:        p.excludedEndpoints(),
		Prefix:       c.Prefix,
		BodyBytes:    int64(len(c.Body)),
		Exclusive:    c.Exclusive,
		Nested:       c.Parent != "",
		Resumes:      p.canResume(),
		StillRuns:    p.stillRuns,
		MaxPause:     c.MaxPause,
	}
	// Call.Objective applies to the beginning of the answer only. Later, an event is
	// of use until the caller gives up.
	switch givesUpAt := p.lastEventAt.Add(c.Patience); {
	case c.Patience > 0 && (r.Resumes || p.attempts > 0 && now.After(c.Objective)):
		r.Objective = givesUpAt
	case r.Resumes:
		r.Objective = c.Deadline
	}
	return r
}

// attempt sends the call to the endpoint that the scheduler chose and copies
// the answer to the sink. It always reports a Completion for the start.
func (r *Runner) attempt(ctx context.Context, p *progress, start schedule.Start, out *sinkTracker) (Outcome, error) {
	c := p.call
	meter := newMeter(c.Service.Kind == text.KindModel, c.Stream, time.Now())
	a := &Attempt{ID: c.AttemptID, Call: c, LastEvent: p.lastEvent, SendBy: start.SendBy}
	if a.ID == "" {
		a.ID = uuid.NewString()
	}
	result, err := schedule.ResultNotSent, error(nil)
	state, leaving := ProcessUnknown, false
	if e, ok := r.Views.View().Endpoint(start.Endpoint); ok && (c.MaxAttempts == 0 || !e.Leaving) {
		a.Endpoint = *e
		r.logStart(a, start)
		for _, w := range r.Watchers {
			w.AttemptStarted(a)
		}
		result, err = r.exchange(ctx, a, start.ID, meter, out, p)
		for _, w := range r.Watchers {
			w.AttemptEnded(a, result, err)
		}
		if a.EndedAt.IsZero() {
			a.EndedAt = time.Now()
		}
		if result == schedule.ResultBroken {
			// A crashed endpoint may no longer be listed when its crash is recognised.
			leaving = r.isLeaving(a.Endpoint.ID)
			state = r.examineBreak(ctx, a, meter.begin, leaving, err)
		}
	} else {
		err = fmt.Errorf("endpoint %s has gone from the view", start.Endpoint)
	}
	now := time.Now()
	completed := result
	if withheld(err) {
		completed = schedule.ResultUnused
	}
	r.Scheduling.Input(schedule.Completion{
		ID: start.ID, Result: completed, Service: meter.unreportedService(now), Elapsed: now.Sub(meter.begin), ListAge: r.listAge(completed),
	})
	o := Outcome{
		Endpoint: start.Endpoint, Result: result, Status: a.Status, Crashed: state == ProcessGone && !leaving,
		BeganAt: meter.begin, AnsweredAt: a.AnsweredAt, FirstEventAt: a.FirstEventAt, EndedAt: a.EndedAt,
	}
	if result == schedule.ResultBroken && state != ProcessGone && !leaving {
		r.probeLater(a, o, state, err)
	}
	return o, err
}

// listAge returns the age of the list of endpoints for a result that depends on it.
func (r *Runner) listAge(result schedule.Result) time.Duration {
	if r.EndpointsAge == nil || result != schedule.ResultNotSent && result != schedule.ResultBroken {
		return 0
	}
	return r.EndpointsAge()
}

func (r *Runner) logStart(a *Attempt, start schedule.Start) {
	fields := log.Fields{
		"RequestID": a.Call.RequestID, "Attempt": a.ID, "Organisation": a.Call.Organisation.Name,
		"Service": a.Call.Service.Name, "Endpoint": start.Endpoint, "Reason": start.Reason, "Reused": a.Call.Reused,
	}
	if r.EndpointsAge != nil {
		fields["EndpointsAge"] = r.EndpointsAge().Round(time.Millisecond)
	}
	AddRequestFields(fields, a.Call.Class, a.Call.Prompt)
	r.Logger.WithFields(fields).Info("RequestRouted")
}

// exchange sends the attempt and copies the answer to the sink.
func (r *Runner) exchange(ctx context.Context, a *Attempt, id schedule.RequestID, m *meter, out *sinkTracker, p *progress) (schedule.Result, error) {
	ctx, watch := r.watchSilence(ctx, p, a.Endpoint.ID, out.started)
	defer func() { p.continuation = watch.stop() }()
	answer, err := r.Backend.Send(ctx, a)
	if err != nil {
		return watch.result(sendResult(ctx, err)), fmt.Errorf("send attempt %s to endpoint %s: %w", a.ID, a.Endpoint.ID, err)
	}
	defer func() { _ = answer.Close() }()
	a.AnsweredAt, a.Status, a.CloseDelimited = time.Now(), answer.Status(), closeDelimited(answer)
	if err := watch.checkGivenUp(); err != nil {
		return schedule.ResultSilent, err
	}
	if rejected(a.Call, answer) {
		return schedule.ResultRejected, r.newRejectedError(a, answer)
	}
	p.limit.answerArrives()
	answer = r.examineEnd(ctx, a, answer, watch)
	watch.resume(p, out.started)
	retry := false
	if r.mayRetryAnswer(answer, p) {
		answer, retry, err = r.prepareRetry(ctx, a.Endpoint.ID, answer, watch, p)
	}
	switch {
	case err != nil:
	case retry:
		return schedule.ResultFailed, fmt.Errorf("endpoint %s answered status %d", a.Endpoint.ID, answer.Status())
	case a.Call.Events && answer.Status() < http.StatusMultipleChoices:
		reporter := newStreamReporter(m.begin, r.Scheduling, id, r.Late)
		if r.Survived != nil {
			reporter.survived = func() { r.Survived(a.Call) }
		}
		reporter.reportedEvents = p.events
		err = r.copyEvents(ctx, answer, reporter, watch, out, p)
		// The events since the last report are part of the Completion.
		m.unreported = float64(p.events - reporter.reportedEvents)
		a.FirstEventAt = reporter.firstEventAt
	case out.started:
		err = fmt.Errorf("the answer to a resumed stream has status %d", answer.Status())
	default:
		err = r.copyAnswer(ctx, a, answer, id, m, watch, out)
	}
	if err != nil {
		var callerErr *sinkError
		if errors.As(err, &callerErr) {
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

// refusal returns the problem of a call that ended while it waited to be
// started.
func refusal(c *Call, err error, mayHaveRun bool) *caller.Problem {
	var problem *caller.Problem
	if errors.As(err, &problem) {
		if mayHaveRun && problem.NotRun == caller.NotRunTrue {
			changed := *problem
			changed.NotRun = caller.NotRunUnknown
			return &changed
		}
		return problem
	}
	now := time.Now()
	p := &caller.Problem{
		Title: "The request was refused", Status: http.StatusServiceUnavailable, Detail: err.Error(),
		NotRun: notRun(mayHaveRun), Step: "Schedule", RequestID: c.RequestID, RetryAt: now.Add(defaultRetryDelay),
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

// failure returns the problem of a call whose last attempt failed before an
// answer began.
func failure(c *Call, err error, mayHaveRun bool) *caller.Problem {
	status := http.StatusBadGateway
	// A dial that times out returns the error of either the context or the
	// socket, depending on which times out first; both report a timeout.
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		status = http.StatusGatewayTimeout
	}
	return &caller.Problem{
		Title: "The endpoint did not answer", Status: status, Detail: err.Error(),
		NotRun: notRun(mayHaveRun), Step: "Execute", RequestID: c.RequestID, RetryAt: retryAt(time.Now(), err),
	}
}

func notRun(mayHaveRun bool) caller.NotRun {
	if mayHaveRun {
		return caller.NotRunUnknown
	}
	return caller.NotRunTrue
}
