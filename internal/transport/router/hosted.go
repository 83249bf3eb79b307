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
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/admission"
	"hyssopreach/internal/coordination/listing"
	"hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/coordination/recovery"
	"hyssopreach/internal/coordination/retry"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/connguard"
	"hyssopreach/internal/transport/connlimit"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
	"hyssopreach/internal/transport/lateness"
	"hyssopreach/internal/transport/memory"
	"hyssopreach/internal/transport/peer"
)

const (
	// acceptShare is the share of the time for a planned stop during which new
	// requests are still accepted, because some callers have not yet switched to
	// another router.
	acceptShare = 0.8
	// streamAcceptShare is the same for streams, which may take long.
	streamAcceptShare = 0.34
	// idleStopDelay is the time without a request after which a stopping router
	// ends early, but not before idleStopMinShare of the time for the stop has
	// passed.
	idleStopDelay    = time.Second
	idleStopMinShare = 0.6
	// stopMargin is the time before the end of a planned stop at which the
	// shutdown of the HTTP servers must be complete.
	stopMargin = 250 * time.Millisecond
	// stopPollInterval is the time between two checks of whether a stopping
	// router is idle.
	stopPollInterval = 50 * time.Millisecond
	// callerReadTimeout bounds the time in which the rest of a request must arrive that is
	// refused without its body; net/http reads up to 256 KiB of it before the answer is sent.
	callerReadTimeout = 2 * headerTimeout
	// headRetryDelay is the delay that a caller is asked to wait if there is no memory for
	// the head of its request.
	headRetryDelay = time.Second
	// MetricHeadsRejected counts these requests.
	MetricHeadsRejected = "HeadsRejected"
)

// Platform adapts a hosted router to its platform. It supplies the
// configuration and the endpoints, which a Router takes from the operators' text
// and the VM list instead, and implements the protocols of callers and endpoints.
type Platform interface {
	// ReadConfiguration returns the newest configuration in its stored form.
	ReadConfiguration(ctx context.Context) (Reading, error)
	// ReadEndpoints returns the list of endpoints in its stored form.
	ReadEndpoints(ctx context.Context) (Reading, error)
	ParseConfiguration(data []byte) (*route.Table, error)
	ParseEndpoints(data []byte) ([]view.Endpoint, error)
	// Backend returns the backend that sends attempts to endpoints.
	Backend(core *Core) HostedBackend
	// HTTPServices returns the HTTP services for callers and operators.
	HTTPServices(core *Core) []HTTPService
}

// HostedBackend sends attempts to the endpoints of a platform and asks them which
// instances they are.
type HostedBackend interface {
	execution.Backend
	InstanceAsker
}

// InstanceAsker asks endpoints which instances they are.
type InstanceAsker interface {
	// AskInstance asks on a new connection and returns whether the endpoint itself, not
	// another instance at its address, has answered. An error means that there is no answer;
	// it wraps syscall.ECONNREFUSED if the host refuses connections.
	AskInstance(ctx context.Context, e *view.Endpoint) (same bool, err error)
}

// Reading is what a read of the store returns.
type Reading struct {
	Data []byte
	// Epoch rises each time that the store is restored from an older copy of
	// itself; zero if the store states none.
	Epoch uint64
	// Evacuated names the failure domains whose endpoints must get no new requests;
	// set by Platform.ReadConfiguration, and used if HostedOptions.EvacuateWithin is set.
	Evacuated []string
}

// HTTPService is an HTTP handler and the address at which it is served.
type HTTPService struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	// Public is set for other services that callers use, which get more connections.
	Public bool
	// LimitConnections is set for the service that receives callers' requests.
	// Package connlimit then limits the connections that are accepted, and the
	// handler must call connlimit.MarkRequestRead when a request has been read.
	LimitConnections bool
	// Identify returns the key of the caller that has sent the beginning of a
	// request, and the description of its prompt, as far as they can be read from it.
	// It is required if LimitConnections is set.
	Identify func(head []byte) (key string, p *schedule.Prompt)
	// Rejection returns the complete answer for a connection that is rejected
	// because the router is overloaded, for a caller that may retry at the given
	// instant. It is required if LimitConnections is set.
	Rejection func(now, retryAt time.Time) []byte
}

// HostedOptions holds the options of a hosted router.
type HostedOptions struct {
	Options
	Platform  Platform
	Resources Resources
	// RevokeWithin is the time after the removal of a key from the configuration
	// by which the key must no longer be accepted.
	RevokeWithin time.Duration
	// DrainWithin is the time after an endpoint has announced that it leaves, or is
	// missing, by which it must get no more attempts.
	DrainWithin time.Duration
	// EvacuateWithin is the time after the evacuation of a failure domain by which its
	// endpoints must get no more attempts; zero if operators can't evacuate any.
	EvacuateWithin time.Duration
	// Listing configures how the router detects an outage of the store, during
	// which entries of running endpoints may lapse, and how long it retains these
	// endpoints afterwards.
	Listing listing.Limits
	// StopWithin is the time that a planned stop may take.
	StopWithin time.Duration
	// RetryLimits bounds the retries that the whole fleet sends.
	RetryLimits retry.Limits
	// Recovery bounds the requests that the whole fleet sends to a cold endpoint.
	Recovery recovery.Bounds
	// PlacesPrompts lets prompts be processed in the failure domain of the routers that
	// the callers of their organisation use; see admission.Options.
	PlacesPrompts bool
	// EventDelay is the time that an event of a stream may take from its endpoint to its
	// caller; 0 to forward events as they arrive.
	EventDelay time.Duration
	// IdleTimeout is the time after which an idle connection of a caller is
	// closed.
	IdleTimeout time.Duration
}

// confirmFor returns the time after a read of the configuration during which a
// caller's key may still be accepted.
func (h *HostedOptions) confirmFor() time.Duration { return h.RevokeWithin - confirmMargin }

// listFor returns the age up to which a list of endpoints may be used by a router
// that could have a newer one.
func (h *HostedOptions) listFor() time.Duration { return h.DrainWithin - listMargin }

// Hosted is a router that takes its configuration and its endpoints from the
// store of a platform.
type Hosted struct {
	options HostedOptions
	core    *Core
	self    view.Router
	fleet   *fleet
	links   *peer.Links
	server  *peer.Server
	members *members
	sources *sources
	// suspects limits the endpoints that a request can crash.
	suspects *suspects
	prober   *prober
	// lateness measures whether this process gets the processor time that it
	// needs.
	lateness *lateness.Meter
	// heads limits the memory of the heads of requests and of unfinished messages of other
	// routers.
	heads    *memory.Limiter
	overload overloadController
	selector *selector
	servers  []*http.Server
	serving  sync.WaitGroup
	closing  sync.Once
}

// Core is the part of a hosted router that is available to the platform's
// adapter.
type Core struct {
	fleet   *fleet
	runner  *execution.Runner
	sources *sources
	bodies  *entry.BodyLimiter
	// answers limits the memory of the parts of answers that are not passed on at once.
	answers     *memory.Limiter
	scheduling  *execution.Scheduling
	started     time.Time
	stopStarted atomic.Pointer[time.Time]
	options     *HostedOptions
	// pauses are the times that endpoints have asked for.
	pauses pauses
	// overload decides which connections this router rejects.
	overload *overloadController
	// selector chooses the routers that callers are told to use.
	selector *selector
	// inFlight is the number of requests in the router.
	inFlight atomic.Int64
	// ending is done when calls whose answer has not begun must end, because the router
	// stops; end ends it.
	ending context.Context
	end    context.CancelFunc
	// lastRequestAt is the arrival of the last request, in Unix nanoseconds.
	lastRequestAt atomic.Int64
	logger        log.Interface
}

// StartHosted opens the listeners and starts to serve. The router stops with
// Drain or Close.
func StartHosted(ctx context.Context, h HostedOptions) (*Hosted, error) {
	s := h.Settings
	r := &Hosted{options: h, self: view.Router{
		ID: s.Name, FailureDomain: s.FailureDomain, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
		Incarnation: h.Incarnation, Capacity: h.Resources.capacity(),
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
		policy = admission.New(admission.Options{
			Source: rand.NewPCG(h.Incarnation, 0), Recovery: h.Recovery, NamesPeers: len(s.Peers) > 0, Counters: recoveryCounters(h.Registry),
			Predictions: newPredictionErrors(h.Registry), PlacesPrompts: h.PlacesPrompts,
		})
	}
	scheduling := execution.NewScheduling(policy, p, h.Logger)
	scheduling.OnRates(r.overload.setReceived)
	r.overload.scheduling.Store(scheduling)
	r.selector = newSelector(r.self, scheduling, &r.overload, h.Logger, h.Registry)
	p.receiveScheduler = func(d schedule.Delivery) {
		r.selector.receive(d)
		scheduling.Input(d)
	}
	r.fleet.watch(r.selector.setView)
	r.members = startMembers(
		membership.Options{Self: r.self, Seeds: s.Peers, Random: random(h.Incarnation, "membership")}, r.fleet, p, h.Logger)
	r.core = &Core{
		answers: memory.NewLimiter(h.Resources.answerBytes(s.Limits.WaitingBytes)),
		fleet:   r.fleet, scheduling: scheduling, bodies: entry.NewBodyLimiter(h.Resources.bodyBytes(s.Limits.WaitingBytes)),
		started: time.Now(), options: &r.options, overload: &r.overload, selector: r.selector, logger: h.Logger,
	}
	r.core.ending, r.core.end = context.WithCancel(context.WithoutCancel(ctx))
	r.lateness = lateness.Start(h.Registry, h.Logger, r.overload.Observe, r.selector.observe)
	r.suspects = startSuspects(suspect.Options{Self: r.self.ID, ConfirmTimeout: evidenceTimeout}, r.fleet, p, h.Logger, h.Registry)
	r.sources = startSources(r, p)
	r.core.sources = r.sources
	r.fleet.watch(func(v *view.Snapshot) { scheduling.Input(schedule.Change{View: v}) })
	backend := h.Platform.Backend(r.core)
	r.prober = newProber(backend, h.Registry)
	r.core.runner = execution.NewRunner(scheduling, backend, r.fleet, r.suspects,
		&fleetBudget{budget: retry.New(h.RetryLimits), views: r.fleet}, h.Logger)
	r.core.runner.EndpointsAge, r.core.runner.Late = r.sources.listAge, r.lateness.Late
	r.core.runner.ReadInterval = func() time.Duration { return r.overload.readInterval(h.EventDelay) }
	r.core.runner.AnswerMemory, r.core.runner.Prober = r.core.answers, r.prober
	r.core.runner.CrashedLate = r.suspects.CrashedLate
	r.core.runner.Survived, r.core.runner.ReopensAt = r.suspects.Survived, r.core.reopensAt
	r.heads = memory.NewLimiter(h.Resources.headBytes(s.Limits.WaitingBytes))
	limits := peer.Limits{Connections: h.Resources.peerConnections(), Memory: r.heads}
	if r.server, err = peer.ServeWithin(limits, listener, p, h.Registry, h.Logger); err != nil {
		r.closeComponents()
		return nil, fmt.Errorf("start router %s: %w", s.Name, err)
	}
	for _, service := range h.Platform.HTTPServices(r.core) {
		if err := r.serve(ctx, service); err != nil {
			r.Close()
			return nil, err
		}
	}
	h.Logger.WithFields(log.Fields{
		"Router": r.self.ID, "Incarnation": h.Incarnation, "FailureDomain": r.self.FailureDomain,
		"CallerAddress": r.self.CallerAddress, "PeerAddress": r.self.PeerAddress,
		"Capacity": r.self.Capacity,
	}).Info("RouterStarted")
	return r, nil
}

// serve runs an HTTP server for one of the platform's services.
func (r *Hosted) serve(ctx context.Context, f HTTPService) error {
	l, err := r.options.Network.Listen(ctx, f.Address)
	if err != nil {
		return fmt.Errorf("start router %s: for %s: %w", r.self.ID, f.Name, err)
	}
	s := &http.Server{
		Handler: f.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: r.options.IdleTimeout,
		MaxHeaderBytes:               int(r.options.Settings.Limits.HeaderBytes),
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     stdlog.New(&serverLog{r.options.Logger.WithField("Face", f.Name)}, "", 0),
	}
	if f.LimitConnections {
		bounded := connlimit.New(l, r.options.Resources.connections(), newRejecter(&r.overload, r.core.identifier(f.Identify), f.Rejection, r.options.Logger, r.options.Registry))
		rejected := metrics.GetOrRegisterCounter(MetricHeadsRejected, r.options.Registry)
		bounded.LimitHeads(r.heads, func() []byte {
			rejected.Inc(1)
			now := time.Now()
			return f.Rejection(now, now.Add(headRetryDelay))
		})
		bounded.InstallHooks(s)
		l = bounded
		// Bodies that the handler reads have a time of their own.
		s.ReadTimeout = callerReadTimeout
	} else {
		l = connguard.NewHTTP(l, r.options.Resources.guardedConnections(f.Public), r.heads, r.options.Registry)
		s.ReadTimeout, s.WriteTimeout = headerTimeout, headerTimeout
	}
	r.servers = append(r.servers, s)
	r.serving.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.options.Logger.WithFields(log.Fields{"Face": f.Name, "Address": f.Address, "Error": err}).Error("ServerFailed")
		}
	})
	return nil
}

// serverLog forwards the error log of an http.Server, such as reports of
// connections that could not be accepted, to the router's log.
type serverLog struct{ logger log.Interface }

// Write logs p as one message.
func (l *serverLog) Write(p []byte) (int, error) {
	l.logger.WithField("Detail", string(bytes.TrimSpace(p))).Warn("ServerComplained")
	return len(p), nil
}

// Drain performs a planned stop. It withdraws the router from the list for
// callers, serves requests that still arrive as long as they can end in time,
// and lets requests in flight end. When only twice the stopMargin remains of the time
// for the stop, it ends those whose answer has not begun, with an answer of its own. It
// cuts off the requests that are still in flight when only stopMargin remains.
func (r *Hosted) Drain(ctx context.Context) {
	startedAt := time.Now()
	within := r.options.StopWithin
	logger := r.options.Logger.WithField("Router", r.self.ID)
	logger.WithField("Inside", r.core.inFlight.Load()).Info("DrainStarted")
	r.core.stopStarted.Store(&startedAt)
	r.members.drain()
	endTimer := time.AfterFunc(within-2*stopMargin, r.core.end)
	defer endTimer.Stop()
	r.waitUntil(ctx, startedAt.Add(time.Duration(acceptShare*float64(within))), func(now time.Time) bool {
		last := time.Unix(0, r.core.lastRequestAt.Load())
		return now.Sub(startedAt) > time.Duration(idleStopMinShare*float64(within)) &&
			r.core.inFlight.Load() == 0 && now.Sub(last) > idleStopDelay
	})
	ending, cancel := context.WithDeadline(ctx, startedAt.Add(within-stopMargin))
	defer cancel()
	for _, s := range r.servers {
		if err := s.Shutdown(ending); err != nil {
			logger.WithField("Error", err).WithField("Inside", r.core.inFlight.Load()).Warn("DrainCut")
		}
	}
	r.members.leave()
	r.Close()
	logger.Info("DrainFinished")
}

// waitUntil returns at the given instant, or earlier if the condition holds or
// the context ends.
func (r *Hosted) waitUntil(ctx context.Context, at time.Time, condition func(now time.Time) bool) {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if now := time.Now(); !now.Before(at) || condition(now) {
			return
		}
	}
}

// Fleet returns the router's current view of the fleet.
func (r *Hosted) Fleet() *view.Snapshot { return r.fleet.View() }

// Close stops the router at once, cutting off requests in flight, and waits
// until all its goroutines have ended.
func (r *Hosted) Close() {
	r.closing.Do(func() {
		for _, s := range r.servers {
			_ = s.Close()
		}
		r.serving.Wait()
		r.server.Close()
		r.closeComponents()
		r.options.Logger.WithField("Router", r.self.ID).Info("RouterStopped")
	})
}

func (r *Hosted) closeComponents() {
	r.core.end()
	r.sources.Close()
	r.members.Close()
	r.core.runner.Close()
	r.prober.Close()
	r.suspects.Close()
	r.core.scheduling.Close()
	r.links.Close()
	r.lateness.Close()
}

// fleetBudget limits the retries of this router to its part of the retry budget
// of the fleet.
type fleetBudget struct {
	views execution.Views

	mu     sync.Mutex
	budget *retry.Budget // guarded by mu
	// maxRouters is the largest number of routers seen in the fleet. The budget
	// is divided by it, so that a router that is cut off from the others does
	// not use their parts. Guarded by mu.
	maxRouters int
}

// Deposit implements execution.RetryBudget; it counts a caller's request.
func (b *fleetBudget) Deposit(c *execution.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest(time.Now(), c.Service.Name)
}

// Withdraw implements execution.RetryBudget; it takes a retry from the budget, if
// there is one left.
func (b *fleetBudget) Withdraw(c *execution.Call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxRouters = max(b.maxRouters, len(b.views.View().Routers))
	return b.budget.Spend(time.Now(), c.Service.Name, b.maxRouters)
}
