package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	local "hyssopreach/internal/coordination/admission"
	"hyssopreach/internal/coordination/listing"
	"hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/coordination/retry"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
	"hyssopreach/internal/transport/intake"
	"hyssopreach/internal/transport/peer"
)

const (
	// acceptShare is the part of the time for a planned stop in which new
	// requests are still accepted, from callers that have not moved yet.
	acceptShare = 0.8
	// longShare is the same for streams, which may take long.
	longShare = 0.34
	// idleStop is the time without a request after which a stopping router
	// ends before its time is over, but not before idleStopShare of it.
	idleStop      = time.Second
	idleStopShare = 0.6
	// stopMargin is what is left of the time for a planned stop when the
	// router ends.
	stopMargin = 250 * time.Millisecond
	// stopPoll is the time between two looks at what is left.
	stopPoll = 50 * time.Millisecond
)

// Platform supplies what a router otherwise learns from the operators' text
// and the VM list, and what its callers and endpoints speak.
type Platform interface {
	// ReadConfiguration returns the newest configuration as it is stored.
	ReadConfiguration(ctx context.Context) ([]byte, error)
	// ReadEndpoints returns the list of endpoints as it is stored.
	ReadEndpoints(ctx context.Context) ([]byte, error)
	ParseConfiguration(data []byte) (*route.Table, error)
	ParseEndpoints(data []byte) ([]view.Endpoint, error)
	// Backend returns what sends attempts to endpoints.
	Backend(core *Core) execution.Backend
	// Faces are the services to callers and operators.
	HTTPServices(core *Core) []HTTPService
}

// Face is a handler and the address at which it is served.
type HTTPService struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	// Bounded is set where callers send their requests: connections are then
	// accepted as package intake does, and the handler tells it when it has read
	// a request.
	LimitConnections bool
}

// Hosting are the options of a router that a platform hosts.
type HostedOptions struct {
	Options
	Platform  Platform
	Resources Resources
	// RevokeWithin is the time after which no key may be accepted that was
	// removed from the configuration.
	RevokeWithin time.Duration
	// Listing says how entries of endpoints lapse and come back.
	Listing listing.Limits
	// StopWithin is the time that a planned stop may take.
	StopWithin time.Duration
	// Repeats bounds what the fleet sends again.
	RetryLimits retry.Limits
	// IdleTimeout is how long an idle connection of a caller is kept.
	IdleTimeout time.Duration
}

// confirmFor is the time after a read of the configuration for which a
// caller's key may still be accepted.
func (h *HostedOptions) confirmFor() time.Duration { return h.RevokeWithin - confirmMargin }

// Hosted is a router that a platform hosts.
type Hosted struct {
	hosting HostedOptions
	core    *Core
	self    view.Router
	fleet   *fleet
	links   *peer.Links
	server  *peer.Server
	members *members
	sources *sources
	servers []*http.Server
	serving sync.WaitGroup
	closing sync.Once
}

// Core is what a platform's adapter sees of the router.
type Core struct {
	table      atomic.Pointer[route.Table]
	fleet      *fleet
	runner     *execution.Runner
	sources    *sources
	bodies     *entry.BodyLimiter
	scheduling *execution.Scheduling
	started    time.Time
	stopAt     atomic.Pointer[time.Time]
	hosting    *HostedOptions
	// inside is the number of requests in the router.
	inside atomic.Int64
	// lastAt is when the last request came, in Unix nanoseconds.
	lastAt atomic.Int64
	logger log.Interface
}

// StartHosted opens the listeners and begins to serve.
func StartHosted(ctx context.Context, h HostedOptions) (*Hosted, error) {
	s := h.Settings
	r := &Hosted{hosting: h, self: view.Router{
		ID: s.Name, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
		Incarnation: h.Incarnation,
	}}
	listener, err := h.Network.Listen(ctx, s.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("start router %s: for peers: %w", s.Name, err)
	}
	r.fleet = newFleet(r.self)
	r.links = peer.NewLinks(r.self.ID, h.Incarnation, h.Network, h.Registry, h.Logger)
	p := &peers{fleet: r.fleet, links: r.links, logger: h.Logger, receivers: make(map[string]receiver)}
	policy := h.Scheduler
	if policy == nil {
		policy = local.New(local.Options{Source: rand.NewPCG(h.Incarnation, 0)})
	}
	scheduling := execution.NewScheduling(policy, p, h.Logger)
	p.schedule = func(d schedule.Delivery) { scheduling.Input(d) }
	r.members = startMembers(
		membership.Options{Self: r.self, Seeds: s.Peers, Random: random(h.Incarnation, "membership")}, r.fleet, p, h.Logger)
	r.core = &Core{
		fleet: r.fleet, scheduling: scheduling, bodies: entry.NewBodyLimiter(h.Resources.bodyBytes(s.Limits.WaitingBytes)),
		started: time.Now(), hosting: &r.hosting, logger: h.Logger,
	}
	r.sources = startSources(r, p)
	r.core.sources = r.sources
	r.fleet.watch(func(v *view.Snapshot) { scheduling.Input(schedule.Change{View: v}) })
	r.core.runner = execution.NewRunner(scheduling, h.Platform.Backend(r.core), r.fleet, h.Logger)
	r.core.runner.Budget = &fleetBudget{budget: retry.New(h.RetryLimits), views: r.fleet}
	if r.server, err = peer.Serve(listener, p, h.Registry, h.Logger); err != nil {
		r.closeParts()
		return nil, fmt.Errorf("start router %s: %w", s.Name, err)
	}
	for _, face := range h.Platform.HTTPServices(r.core) {
		if err := r.serve(ctx, face); err != nil {
			r.Close()
			return nil, err
		}
	}
	h.Logger.WithFields(log.Fields{
		"Router": r.self.ID, "Incarnation": h.Incarnation, "FailureDomain": r.self.FailureDomain,
		"CallerAddress": r.self.CallerAddress, "PeerAddress": r.self.PeerAddress,
	}).Info("RouterStarted")
	return r, nil
}

func (r *Hosted) serve(ctx context.Context, f HTTPService) error {
	l, err := r.hosting.Network.Listen(ctx, f.Address)
	if err != nil {
		return fmt.Errorf("start router %s: for %s: %w", r.self.ID, f.Name, err)
	}
	s := &http.Server{
		Handler: f.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: r.hosting.IdleTimeout,
		MaxHeaderBytes: int(r.hosting.Settings.Limits.HeaderBytes),
		ErrorLog:       stdlog.New(&serverLog{r.hosting.Logger.WithField("Face", f.Name)}, "", 0),
	}
	if f.LimitConnections {
		bounded := intake.New(l, r.hosting.Resources.connections())
		bounded.InstallHooks(s)
		l = bounded
	}
	r.servers = append(r.servers, s)
	r.serving.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.hosting.Logger.WithFields(log.Fields{"Face": f.Name, "Address": f.Address, "Error": err}).Error("ServerFailed")
		}
	})
	return nil
}

// serverLog takes what net/http says of its own accord, such as connections
// that can't be accepted.
type serverLog struct{ logger log.Interface }

// Write logs one message.
func (l *serverLog) Write(p []byte) (int, error) {
	l.logger.WithField("Detail", string(bytes.TrimSpace(p))).Warn("ServerComplained")
	return len(p), nil
}

// Drain is a planned stop: callers are no longer sent here, those that still
// come are served as long as their requests can end in time, and every request
// inside ends.
func (r *Hosted) Drain(ctx context.Context) {
	begun := time.Now()
	within := r.hosting.StopWithin
	logger := r.hosting.Logger.WithField("Router", r.self.ID)
	logger.WithField("Inside", r.core.inside.Load()).Info("DrainStarted")
	r.core.stopAt.Store(&begun)
	r.members.drain()
	r.waitUntil(ctx, begun.Add(time.Duration(acceptShare*float64(within))), func(now time.Time) bool {
		last := time.Unix(0, r.core.lastAt.Load())
		return now.Sub(begun) > time.Duration(idleStopShare*float64(within)) &&
			r.core.inside.Load() == 0 && now.Sub(last) > idleStop
	})
	ending, cancel := context.WithDeadline(ctx, begun.Add(within-stopMargin))
	defer cancel()
	for _, s := range r.servers {
		if err := s.Shutdown(ending); err != nil {
			logger.WithField("Error", err).WithField("Inside", r.core.inside.Load()).Warn("DrainCut")
		}
	}
	r.members.leave()
	r.Close()
	logger.Info("DrainFinished")
}

// waitUntil waits for the instant, or less if the condition holds earlier.
func (r *Hosted) waitUntil(ctx context.Context, at time.Time, met func(now time.Time) bool) {
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if now := time.Now(); !now.Before(at) || met(now) {
			return
		}
	}
}

// Close ends everything at once and waits for it.
func (r *Hosted) Close() {
	r.closing.Do(func() {
		for _, s := range r.servers {
			_ = s.Close()
		}
		r.serving.Wait()
		r.server.Close()
		r.closeParts()
		r.hosting.Logger.WithField("Router", r.self.ID).Info("RouterStopped")
	})
}

func (r *Hosted) closeParts() {
	r.sources.Close()
	r.members.Close()
	r.core.scheduling.Close()
	r.links.Close()
}

// fleetBudget keeps the repeats of this router to its part of the fleet's.
type fleetBudget struct {
	views execution.Views

	mu     sync.Mutex
	budget *retry.Budget // guarded by mu
	// most is the largest fleet that was seen, so that a router that is cut
	// off from the others does not take their parts. Guarded by mu.
	most int
}

// Earn counts a caller's request; see execution.Budget.
func (b *fleetBudget) Deposit(c *execution.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest(time.Now(), c.Service.Name)
}

// Spend takes a repeat from the budget; see execution.Budget.
func (b *fleetBudget) Withdraw(c *execution.Call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = max(b.most, len(b.views.View().Routers))
	return b.budget.Spend(time.Now(), c.Service.Name, b.most)
}
