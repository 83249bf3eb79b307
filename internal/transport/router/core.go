package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"hyssopreach/internal/coordination/admission"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
	"hyssopreach/internal/transport/connlimit"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
	"hyssopreach/internal/transport/memory"
)

const (
	// absenceTrustedFor is the time after a read of the configuration during
	// which a route or key that is absent from it is taken not to exist.
	absenceTrustedFor = 1600 * time.Millisecond
	// unconfirmedRetryDelay is the delay after which a caller may retry while
	// this router's configuration is not known to be the newest.
	unconfirmedRetryDelay = 300 * time.Millisecond
	// stoppingRetryDelay is the delay after which a caller may retry while the
	// router stops. It is short because another router can serve the retry.
	stoppingRetryDelay = 50 * time.Millisecond
	// continuationObjectives is the number of latency objectives that the continuation
	// of a stream at another endpoint needs: one to find the endpoint, and one until
	// the next event. It takes at least minContinuationShare of the time that callers
	// wait for an event, and at most maxContinuationShare.
	continuationObjectives = 2
	minContinuationShare   = 0.25
	maxContinuationShare   = 0.5
	// idempotentSilenceFactor, multiplied by the latency objective of an
	// idempotent call that is not a stream, is the MaxSilence of the call: if
	// the head of the answer has not arrived within this time, the router looks for
	// another endpoint.
	idempotentSilenceFactor = 2.5
	// answerMargin is the time before the end of a caller's patience at which a call
	// ends for which no answer arrives. It covers the way of the request and of the
	// answer. A caller that waits for less than minMarginFactor of it keeps its time.
	answerMargin    = 25 * time.Millisecond
	minMarginFactor = 10
	// defaultBodyBytes limits a caller's body while no limit is configured.
	defaultBodyBytes = 4 << 20
	// joinGrace is the time after its start during which a router that knows no
	// other router does not yet list the routers to callers, because it may not
	// have received heartbeats of the others yet.
	joinGrace = 1500 * time.Millisecond
)

// IncomingRequest is a caller's request before it is admitted.
type IncomingRequest struct {
	// ID identifies the request and its attempts at endpoints.
	ID     string
	Host   string
	Method string
	// Target is the path with the query; Path is the path alone.
	Target string
	Path   string
	Header http.Header
	// Key is the caller's API key; empty if the caller sent none.
	Key string
	// Deadline is the instant until which the caller waits; zero if the caller
	// stated none.
	Deadline time.Time
	// Prompt is the caller's description of its prompt; nil if there is none.
	Prompt *schedule.Prompt
	// LastEvent is the ID of the last event that the caller has received.
	LastEvent string
	// Reused is set for a request on a connection that carried another one before.
	Reused bool
}

// Table returns the configuration in force; nil before the first one is read.
func (c *Core) Table() *route.Table { return c.sources.current.Load().table }

// AnswerMemory returns the limiter of the memory for parts of answers that are not passed
// on at once.
func (c *Core) AnswerMemory() *memory.Limiter { return c.answers }

// Bodies returns the limiter of the memory for callers' bodies.
func (c *Core) Bodies() *entry.BodyLimiter { return c.bodies }

// Stopping reports whether a planned stop has begun.
func (c *Core) Stopping() bool { return c.stopStarted.Load() != nil }

// Ready reports whether the router can serve.
func (c *Core) Ready() bool {
	return !c.Stopping() && c.Table() != nil && len(c.fleet.View().Endpoints) > 0
}

// MaySend reports whether an attempt for the organisation may still be sent to the
// endpoint: the list of endpoints is usable and names the endpoint as one that
// does not leave and is in no evacuated failure domain, the endpoint has not asked for
// time, and the request needs no key or the configuration that holds the key was confirmed
// recently enough.
func (c *Core) MaySend(o *text.Organisation, id view.EndpointID) bool {
	if e, ok := c.fleet.View().Endpoint(id); !ok || e.Leaving || c.pauses.paused(id, time.Now()) {
		return false
	}
	now := clock.Now()
	return c.sources.listUsable(now, c.options.listFor()) && c.sources.evacuationsUsable(now, c.options.evacuateFor()) &&
		(o.Name == "" || c.sources.confirmedAt(now, c.options.confirmFor()))
}

// KeepsConnection reports whether a caller's connection stays open after an
// answer with the given status. The connection of a refused caller is closed,
// because connections left open by a flood would take the memory that requests
// need; the caller retries on a new one.
func (c *Core) KeepsConnection(status int) bool {
	return !c.Stopping() && status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable
}

// Admit matches a request to a route and an organisation and returns the call
// for it, without its body, or the problem for which the request is refused.
func (c *Core) Admit(a *IncomingRequest, now time.Time) (*execution.Call, *caller.Problem) {
	table := c.Table()
	if table == nil {
		return nil, unconfirmed(now, "no configuration has been read yet")
	}
	matched := table.Match(a.Host, a.Path)
	if matched == nil {
		if !c.sources.confirmedWithin(absenceTrustedFor) {
			return nil, unconfirmed(now, "the configuration may be old, and it holds no route for this path")
		}
		return nil, entry.NewRefusal(http.StatusNotFound, "Match", fmt.Sprintf("no route of host %q leads to %q", a.Host, a.Path))
	}
	at := clock.Now()
	if len(matched.Targets) == 0 {
		return nil, unconfirmed(now, fmt.Sprintf("the route for %q leads to no service", a.Path))
	}
	organisation, problem := c.identify(table, matched, a, now, at)
	if problem != nil {
		return nil, problem
	}
	if problem := c.checkStopping(matched, now); problem != nil {
		return nil, problem
	}
	if !c.sources.listUsable(at, c.options.listFor()) {
		return nil, unconfirmed(now, fmt.Sprintf("the list of endpoints is %v old, and this router runs %v late",
			c.sources.listAge().Round(time.Millisecond), c.lateness().Round(time.Millisecond)))
	}
	if !c.sources.evacuationsUsable(at, c.options.evacuateFor()) {
		return nil, unconfirmed(now, fmt.Sprintf("this router runs %v late, and does not know lately which failure domains are evacuated",
			c.lateness().Round(time.Millisecond)))
	}
	call := newCall(a, matched, organisation, now)
	if call.Prompt == nil {
		return call, nil
	}
	switch {
	case a.Reused && c.overload.RejectUsed(organisation.Name):
		problem = c.rejected(organisation.Name, now)
	case c.scheduling.QueueFull(organisation.Name, admission.MaxQueuedRequests):
		problem = queueFull(now)
	default:
		return call, nil
	}
	c.overload.addRejected(schedule.RejectedRequest{
		Organisation: organisation.Name, Work: admission.Cost(call.Prompt), Identity: call.Prompt.Identity,
	})
	return nil, problem
}

// rejected returns the problem for a request on a used connection that is rejected
// like new connections of the organisation.
func (c *Core) rejected(organisation string, now time.Time) *caller.Problem {
	fraction := c.overload.FractionOf(organisation)
	p := entry.NewRefusal(http.StatusServiceUnavailable, "Share", fmt.Sprintf("the router has no processor time for this organisation, of which it rejects %.2f", fraction))
	p.RetryAt = now.Add(rejectDelay(fraction, rand.Float64()))
	return p
}

// queueFull returns the problem for a request whose organisation already has
// the maximum number of waiting requests.
func queueFull(now time.Time) *caller.Problem {
	p := entry.NewRefusal(http.StatusTooManyRequests, "Admit", "as many requests of the organisation wait as may")
	p.RetryAt = admission.RetryWhenFull(now, rand.Float64())
	return p
}

// Describe returns, for the log, the name of the organisation that holds the key
// of a request by the configuration in force, and the class of the request's
// route. Either is empty if there is none.
func (c *Core) Describe(a *IncomingRequest) (organisation string, class *text.Class) {
	table := c.Table()
	if table == nil {
		return "", nil
	}
	if o := table.Organisation(a.Key); o != nil {
		organisation = o.Name
	}
	if matched := table.Match(a.Host, a.Path); matched != nil {
		class = &matched.Class
	}
	return organisation, class
}

// identify returns the organisation that holds the caller's key. While the
// configuration is too old to judge the key, it refuses the request with status
// 503 rather than 401, because the key may be valid. Both now and at are the
// current time.
func (c *Core) identify(table *route.Table, matched *route.Route, a *IncomingRequest, now time.Time, at clock.Instant) (*text.Organisation, *caller.Problem) {
	if matched.Anonymous || !table.RequiresKey() {
		return &text.Organisation{}, nil
	}
	if !c.sources.confirmedAt(at, c.options.confirmFor()) {
		return nil, unconfirmed(now, "keys cannot be judged by a configuration that has not been confirmed lately")
	}
	o := table.Organisation(a.Key)
	if o != nil {
		return o, nil
	}
	if !c.sources.confirmedAt(at, absenceTrustedFor) {
		return nil, unconfirmed(now, "the configuration may be old, and it does not hold this key")
	}
	return nil, entry.NewRefusal(http.StatusUnauthorized, "Identify", "the key belongs to no organisation")
}

// checkStopping refuses requests that arrive so late in a planned stop that they
// are unlikely to end before the router stops. Streams are refused earlier than
// other requests, because they may take long.
func (c *Core) checkStopping(matched *route.Route, now time.Time) *caller.Problem {
	stopStarted := c.stopStarted.Load()
	if stopStarted == nil {
		return nil
	}
	share := acceptShare
	if matched.Stream {
		share = streamAcceptShare
	}
	if now.Sub(*stopStarted) < time.Duration(share*float64(c.options.StopWithin)) {
		return nil
	}
	p := entry.NewRefusal(http.StatusServiceUnavailable, "Stop", "this router is about to stop")
	p.RetryAt = now.Add(stoppingRetryDelay)
	return p
}

// newCall builds the call for a request that matched a route.
func newCall(a *IncomingRequest, matched *route.Route, o *text.Organisation, now time.Time) *execution.Call {
	call := &execution.Call{
		RequestID: a.ID, AttemptID: a.ID, Organisation: o, Service: matched.Pick(rand.Float64()), Class: &matched.Class,
		Urgency: matched.Class.Urgency, Method: a.Method, Path: a.Target, Host: a.Host, Header: a.Header,
		Deadline: a.Deadline, MaxAttempts: max(matched.MaxAttempts, 1), LastEvent: a.LastEvent,
		Stream: matched.Stream, Events: matched.Stream, Resumable: matched.Resumable, Prompt: a.Prompt, Reused: a.Reused,
		Patience: matched.Patience, MaxPause: matched.MaxPause,
	}
	if matched.Timeout > 0 {
		if at := now.Add(matched.Timeout); call.Deadline.IsZero() || at.Before(call.Deadline) {
			call.Deadline = at
		}
	}
	if call.Deadline.IsZero() {
		call.Deadline = now.Add(requestTimeout)
	}
	if by := a.Deadline.Add(-answerMargin); a.Deadline.Sub(now) >= minMarginFactor*answerMargin && by.Before(call.Deadline) {
		call.AnswerBy = by
	}
	if matched.Objective > 0 {
		call.Objective = now.Add(matched.Objective)
	}
	if matched.HasPrompt && call.Prompt == nil {
		call.Prompt = &schedule.Prompt{}
	}
	switch {
	case matched.Resumable:
		call.MaxSilence = maxSilence(matched)
	case matched.Class.Idempotent && !matched.Stream:
		call.RetryServerErrors = true
		call.MaxSilence = time.Duration(idempotentSilenceFactor * float64(matched.Objective))
	}
	return call
}

// maxSilence returns the time without an event after which the router looks for an
// endpoint that continues a stream: what is left until the caller gives up is the time
// that the continuation needs.
func maxSilence(r *route.Route) time.Duration {
	shortest, longest := minContinuationShare*float64(r.Patience), maxContinuationShare*float64(r.Patience)
	return r.Patience - time.Duration(min(max(continuationObjectives*float64(r.Objective), shortest), longest))
}

// MaxBodyBytes returns the size to which a caller's body is limited.
func (c *Core) MaxBodyBytes() int64 {
	if limit := c.Table().Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

// CallerLeft reports whether the caller of the request with the given context has left.
// It looks only while this router reads requests some time after they have arrived.
func (c *Core) CallerLeft(ctx context.Context) bool {
	late := c.overload.Fraction() > 0 || c.sources.router.lateness.Late()
	return late && connlimit.CallerLeft(ctx)
}

func (c *Core) lateness() time.Duration { return c.sources.router.lateness.Recent() }

// Run runs an admitted call; see execution.Runner.Run. A call whose answer has not begun
// ends with a refusal or a failure before the router stops.
func (c *Core) Run(ctx context.Context, call *execution.Call, sink execution.Sink) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watched := &beginningSink{Sink: sink}
	defer context.AfterFunc(c.ending, func() {
		if !watched.begun.Load() {
			cancel(execution.ErrStopping)
		}
	})()
	return c.runner.Run(ctx, call, watched)
}

// beginningSink records whether an answer has begun.
type beginningSink struct {
	execution.Sink
	begun atomic.Bool
}

// Begin records that the answer has begun and forwards its head.
func (s *beginningSink) Begin(status int, header http.Header) error {
	s.begun.Store(true)
	return s.Sink.Begin(status, header)
}

// TrackRequest counts a request as in flight until the returned function is
// called.
func (c *Core) TrackRequest(now time.Time) (done func()) {
	c.inFlight.Add(1)
	c.lastRequestAt.Store(now.UnixNano())
	return func() { c.inFlight.Add(-1) }
}

// unconfirmed returns the problem for a request that cannot be judged because
// the configuration here is missing or not known to be the newest.
func unconfirmed(now time.Time, detail string) *caller.Problem {
	p := entry.NewRefusal(http.StatusServiceUnavailable, "Configure", detail)
	p.RetryAt = now.Add(unconfirmedRetryDelay)
	return p
}
