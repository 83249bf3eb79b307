package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	local "hyssopreach/internal/coordination/admission"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
)

const (
	// knownFor is the time after a read of the configuration for which a
	// route or key that is not in it is taken not to exist.
	knownFor = 1600 * time.Millisecond
	// unknownPause is how long a caller is asked to stay away while this
	// router's configuration is not known to be the newest.
	unknownPause = 300 * time.Millisecond
	// stoppingPause is the same while the router stops; another one serves.
	stoppingPause = 50 * time.Millisecond
	// streamSilence is the time without a byte after which a resumable stream
	// goes on at another endpoint. Callers wait a little more than two
	// seconds.
	streamSilence = 1300 * time.Millisecond
	// plainSilenceFactor is how many times its objective an idempotent call
	// waits for an endpoint before it is tried at another.
	plainSilenceFactor = 2.5
	// joinTime is the time that a router which has just started gives the
	// others to be heard before it tells callers about them.
	joinTime = 1500 * time.Millisecond
)

// Asked is a caller's request before it is admitted.
type IncomingRequest struct {
	// ID names the request, and its attempts at endpoints.
	ID     string
	Host   string
	Method string
	// Target is the path and query, and Path the path alone.
	Target string
	Path   string
	Header http.Header
	// Key is the caller's key; empty if it sent none.
	Key string
	// Deadline is the instant until which the caller waits; zero if it didn't
	// say.
	Deadline time.Time
	// Prompt is what the caller states of its prompt; nil if nothing.
	Prompt *schedule.Prompt
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
}

// Table returns the configuration in force; nil before the first.
func (c *Core) Table() *route.Table { return c.table.Load() }

// Bodies bounds the memory for callers' bodies.
func (c *Core) Bodies() *entry.BodyLimiter { return c.bodies }

// Stopping reports whether a planned stop has begun.
func (c *Core) Stopping() bool { return c.stopAt.Load() != nil }

// Ready reports whether the router can serve.
func (c *Core) Ready() bool {
	return !c.Stopping() && c.Table() != nil && len(c.fleet.View().Endpoints) > 0
}

// MayAccept reports whether an attempt for the organisation may still be sent:
// it needs no key, or the configuration that holds its key was confirmed
// lately.
func (c *Core) MaySend(o *text.Organisation) bool {
	return o.Name == "" || c.sources.confirmedWithin(c.hosting.confirmFor())
}

// KeepsConnection reports whether a caller's connection is kept after an
// answer with the status. A refused caller comes back on a new one; what a
// flood leaves open would take the memory that requests need.
func (c *Core) KeepsConnection(status int) bool {
	return !c.Stopping() && status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable
}

// Entry returns the addresses of at most so many routers that callers may use,
// and false if this router does not know the fleet yet. Of more it names some
// at random, so that none is left without callers.
func (c *Core) CallerAddresses(most int) ([]netip.AddrPort, bool) {
	v := c.fleet.View()
	var usable []netip.AddrPort
	for i := range v.Routers {
		r := &v.Routers[i]
		if r.Draining || r.Suspected || r.ID == v.Self && !c.Ready() {
			continue
		}
		usable = append(usable, r.CallerAddress)
	}
	alone := len(v.Routers) == 1 && len(c.hosting.Settings.Peers) > 0 && time.Since(c.started) < joinTime
	if len(usable) > most {
		rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		usable = usable[:most]
	}
	return usable, len(usable) > 0 && !alone
}

// Admit finds what a request leads to. The call lacks its body.
func (c *Core) Admit(a *IncomingRequest, now time.Time) (*execution.Call, *caller.Problem) {
	table := c.Table()
	if table == nil {
		return nil, notKnown(now, "no configuration has been read yet")
	}
	matched := table.Match(a.Host, a.Path)
	if matched == nil {
		if !c.sources.confirmedWithin(knownFor) {
			return nil, notKnown(now, "the configuration may be old, and it holds no route for this path")
		}
		return nil, entry.NewRefusal(http.StatusNotFound, "Match", fmt.Sprintf("no route of host %q leads to %q", a.Host, a.Path))
	}
	organisation, problem := c.identify(table, matched, a, now)
	if problem != nil {
		return nil, problem
	}
	if problem := c.stopping(matched, now); problem != nil {
		return nil, problem
	}
	call := newCall(a, matched, organisation, now)
	if call.Prompt != nil && c.scheduling.QueueFull(organisation.Name, local.MaxQueuedRequests) {
		return nil, crowded(now)
	}
	return call, nil
}

// crowded refuses a request whose organisation has as many waiting as may.
func crowded(now time.Time) *caller.Problem {
	p := entry.NewRefusal(http.StatusTooManyRequests, "Admit", "as many requests of the organisation wait as may")
	p.RetryAt = local.RetryWhenFull(now, rand.Float64())
	return p
}

// identify finds the organisation that holds the caller's key.
func (c *Core) identify(table *route.Table, matched *route.Route, a *IncomingRequest, now time.Time) (*text.Organisation, *caller.Problem) {
	if matched.Anonymous || !table.Keyed() {
		return &text.Organisation{}, nil
	}
	if !c.sources.confirmedWithin(c.hosting.confirmFor()) {
		return nil, notKnown(now, "keys cannot be judged by a configuration that has not been confirmed lately")
	}
	o := table.Organisation(a.Key)
	if o != nil {
		return o, nil
	}
	if !c.sources.confirmedWithin(knownFor) {
		return nil, notKnown(now, "the configuration may be old, and it does not hold this key")
	}
	return nil, entry.NewRefusal(http.StatusUnauthorized, "Identify", "the key belongs to no organisation")
}

// stopping refuses what cannot end before this router does.
func (c *Core) stopping(matched *route.Route, now time.Time) *caller.Problem {
	begun := c.stopAt.Load()
	if begun == nil {
		return nil
	}
	share := acceptShare
	if matched.Stream {
		share = longShare
	}
	if now.Sub(*begun) < time.Duration(share*float64(c.hosting.StopWithin)) {
		return nil
	}
	p := entry.NewRefusal(http.StatusServiceUnavailable, "Stop", "this router is about to stop")
	p.RetryAt = now.Add(stoppingPause)
	return p
}

func newCall(a *IncomingRequest, matched *route.Route, o *text.Organisation, now time.Time) *execution.Call {
	call := &execution.Call{
		RequestID: a.ID, AttemptID: a.ID, Organisation: o, Service: matched.Pick(rand.Float64()), Class: &matched.Class,
		Urgency: matched.Class.Urgency, Method: a.Method, Path: a.Target, Host: a.Host, Header: a.Header,
		Deadline: a.Deadline, MaxAttempts: max(matched.MaxAttempts, 1), LastEvent: a.LastEvent,
		Stream: matched.Stream, Events: matched.Stream, Resumable: matched.Resumable, Prompt: a.Prompt,
	}
	if matched.Timeout > 0 {
		if at := now.Add(matched.Timeout); call.Deadline.IsZero() || at.Before(call.Deadline) {
			call.Deadline = at
		}
	}
	if call.Deadline.IsZero() {
		call.Deadline = now.Add(requestTimeout)
	}
	if matched.Objective > 0 {
		call.Objective = now.Add(matched.Objective)
	}
	if matched.Prompted && call.Prompt == nil {
		call.Prompt = &schedule.Prompt{}
	}
	switch {
	case matched.Resumable:
		call.MaxSilence = streamSilence
	case matched.Class.Idempotent && !matched.Stream:
		call.RetryServerErrors = true
		call.MaxSilence = time.Duration(plainSilenceFactor * float64(matched.Objective))
	}
	return call
}

// Run runs an admitted call; see execution.Runner.
func (c *Core) Run(ctx context.Context, call *execution.Call, sink execution.Sink) error {
	return c.runner.Run(ctx, call, sink)
}

// Enter counts a request that is in the router until the returned function is
// called.
func (c *Core) TrackRequest(now time.Time) (leave func()) {
	c.inside.Add(1)
	c.lastAt.Store(now.UnixNano())
	return func() { c.inside.Add(-1) }
}

func notKnown(now time.Time, detail string) *caller.Problem {
	p := entry.NewRefusal(http.StatusServiceUnavailable, "Configure", detail)
	p.RetryAt = now.Add(unknownPause)
	return p
}
