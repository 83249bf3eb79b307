package execution

import (
	"context"
	"slices"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// progress is the state of a call across its attempts.
type progress struct {
	call *Call
	// limit ends the call if no answer arrives.
	limit    *answerLimit
	attempts int
	// sentAttempts is the number of attempts that reached an endpoint.
	sentAttempts int
	// rejectedAttempts is the number of sent attempts that their endpoints rejected
	// without running them.
	rejectedAttempts int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// triedEndpoints are those at which attempts failed, except silentEndpoint, at
	// which the last attempt that was given up because of silence was made. An
	// endpoint that was silent earlier may have recovered.
	triedEndpoints []view.EndpointID
	silentEndpoint view.EndpointID
	// rejecting are the endpoints that have rejected the rest of a stream since its last
	// event, and since the last of its postponements, which next counts.
	rejecting     []view.EndpointID
	postponements int
	// stillRuns is set while the search for a continuation goes on beside the last
	// attempt.
	stillRuns bool
	// continuation is the admission of the next attempt if the last one was given up
	// in its favour; nil if there is none.
	continuation *schedule.Start
	// lastEvent is the ID of the last event that the caller has received; empty
	// if it has received none.
	lastEvent string
	// lastEventAt is when the caller received the last event; it is when the call
	// began if the caller has received none.
	lastEventAt time.Time
	// events is the number of events forwarded to the caller, and steps what is known
	// of the differences between their IDs.
	events int
	steps  idSteps
	// retryReserved is set if the next retry has already been allowed and taken
	// from the budget.
	retryReserved bool
	// retryOwed is set if the next retry of a stream that has begun still has to be taken
	// from the budget, which was empty.
	retryOwed bool
	// retained is the last whole answer that is to be replaced by a retry; nil if there
	// is none.
	retained *retainedAnswer
	// confirmed is the last function that Gate.Done returned; nil if there is none.
	confirmed func(context.Context)
}

// awaitConfirmation waits until other routers know what they have to know before
// the caller learns that the call failed.
func (p *progress) awaitConfirmation(ctx context.Context) {
	if p.confirmed != nil {
		p.confirmed(ctx)
	}
}

// recordFailure records an attempt that did not end with a complete answer.
func (p *progress) recordFailure(e view.EndpointID, result schedule.Result) {
	*p = *p.afterAttempt(result)
	switch {
	case result == schedule.ResultSilent:
		p.silentEndpoint = e
	case result == schedule.ResultRejected && p.canResume():
		p.rejecting = append(slices.Clip(p.rejecting), e)
	default:
		p.triedEndpoints = append(slices.Clip(p.triedEndpoints), e)
	}
}

// excludedEndpoints returns the endpoints at which the next attempt must not be made.
func (p *progress) excludedEndpoints() []view.EndpointID {
	excluded := slices.Concat(p.triedEndpoints, p.rejecting)
	if p.silentEndpoint != "" {
		excluded = append(excluded, p.silentEndpoint)
	}
	return excluded
}

// afterAttempt returns the progress as it will be if the current attempt ends
// with the given result.
func (p *progress) afterAttempt(result schedule.Result) *progress {
	next := *p
	next.attempts++
	if result != schedule.ResultNotSent {
		next.sentAttempts++
	}
	if result == schedule.ResultRejected {
		next.rejectedAttempts++
	}
	if result != schedule.ResultNotSent && result != schedule.ResultRejected {
		next.mayHaveRun = true
	}
	return &next
}

// received records that the caller has received the events.
func (p *progress) received(e eventIDs) {
	p.steps.add(p.lastEvent, e)
	if e.last != "" {
		p.lastEvent = e.last
	}
	if e.count > 0 {
		p.lastEventAt, p.rejecting, p.postponements = time.Now(), nil, 0
	}
	p.events += e.count
}

// canResume reports whether an answer that has begun can be continued at
// another endpoint.
func (p *progress) canResume() bool {
	return p.call.Resumable && p.events > 0 && p.lastEvent != ""
}

// silentAt returns when the endpoint of the current attempt counts as silent if it sends
// nothing more. The caller of a stream that has begun waits since the last event, so the
// silence of earlier attempts counts. A continuation has half of the time that is left.
func (p *progress) silentAt(now time.Time) time.Time {
	patience, c := p.givesUpAt().Sub(now), p.call
	if c.Patience == 0 || !p.canResume() || patience <= 0 {
		return now.Add(c.MaxSilence)
	}
	at, sinceEvent := now.Add(min(patience/2, c.MaxSilence)), p.lastEventAt.Add(c.MaxSilence)
	if at.Before(sinceEvent) {
		return sinceEvent
	}
	return at
}

// givesUpAt returns the time at which the caller gives up if it receives nothing more.
func (p *progress) givesUpAt() time.Time {
	at := p.lastEventAt.Add(p.call.Patience)
	if p.call.Patience == 0 || at.After(p.call.Deadline) {
		return p.call.Deadline
	}
	return at
}
