package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/endpoint"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
	"hyssopreach/internal/transport/peer"
	"hyssopreach/internal/transport/rehearsal"
)

const (
	// bodyTimeout bounds the time in which a caller must send its body.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds the time in which a caller must take each part.
	writeTimeout = 20 * time.Second
	// headerTimeout bounds the time in which a caller must send its headers.
	headerTimeout = 10 * time.Second
	// keepAliveTimeout is how long an idle connection of a caller is kept.
	keepAliveTimeout = 2 * time.Minute
	// requestTimeout is given to requests that state no deadline.
	requestTimeout = 2 * time.Minute
	// drainMargin is added to the hold of entry answers in a planned stop; it
	// covers the time until the last peer knows that this router drains.
	drainMargin = 2 * time.Second
)

// Options are what a router needs besides its settings.
type Options struct {
	Settings *settings.Settings
	// Incarnation grows with each start of this router; the start time in
	// nanoseconds serves.
	Incarnation uint64
	Network     Network
	// Scheduler is the policy; nil means the default one.
	Scheduler schedule.Scheduler
	Logger    log.Interface
	Registry  metrics.Registry
}

// Router is one running router.
type Router struct {
	options        Options
	self           view.Router
	fleet          *fleet
	peers          *peers
	server         *peer.Server
	client         *endpoint.Client
	scheduling     *execution.Scheduling
	entry          *entry.Handler
	callers        *http.Server
	operators      *http.Server
	members        *members
	claims         *claims
	suspects       *suspects
	demand         *demand
	guard          *rehearsal.Guard
	configurations *configurations
	components     []component
	watchers       []execution.Watcher
	serving        sync.WaitGroup
	callerAt       netip.AddrPort
	operatorAt     netip.AddrPort

	closing sync.Once
}

// component is a part of the router with work of its own in the background.
// Close waits until that work has ended.
type component interface {
	Close()
}

// Start opens the listeners and begins to serve. The router stops with Close.
func Start(ctx context.Context, o Options) (*Router, error) {
	if o.Scheduler == nil {
		o.Scheduler = defaultScheduler(o.Incarnation)
	}
	r := &Router{options: o}
	r.guard = rehearsal.New(o.Network, rehearsal.Place{FailureDomain: o.Settings.FailureDomain, Router: o.Settings.Name},
		rehearsal.Limits{DialTimeout: dialTimeout, SilenceTimeout: silenceTimeout})
	o.Network, r.options.Network = r.guard, r.guard
	listeners, err := r.listen(ctx)
	if err != nil {
		r.guard.Close()
		return nil, err
	}
	r.fleet = newFleet(r.self)
	links := peer.NewLinks(r.self.ID, o.Incarnation, o.Network, o.Registry, o.Logger)
	r.peers = &peers{fleet: r.fleet, links: links, logger: o.Logger, receivers: make(map[string]receiver)}
	r.client = endpoint.NewClient(o.Network.DialContext)
	r.scheduling = execution.NewScheduling(o.Scheduler, r.peers, o.Logger)
	r.peers.schedule = func(d schedule.Delivery) { r.scheduling.Input(d) }
	r.fleet.watch(func(s *view.Snapshot) {
		r.guard.SetRouters(s.Routers)
		if index := r.fleet.Index(); index != nil {
			r.guard.SetText(index.Document())
		}
	})
	r.startComponents()
	r.fleet.watch(func(s *view.Snapshot) { r.scheduling.Input(schedule.Change{View: s}) })
	runner := execution.NewRunner(r.scheduling, &backend{r.client}, r.fleet, o.Logger, r.watchers...)
	runner.Gate = r.demand
	r.claims.executor = runner
	r.entry = entry.New(r.self.ID, r.limits(), r.fleet, r.fleet, r.claims, o.Registry, o.Logger)
	if r.server, err = peer.Serve(listeners.peers, r.peers, o.Registry, o.Logger); err != nil {
		r.closeParts()
		return nil, errors.Join(fmt.Errorf("start router %s: %w", r.self.ID, err), listeners.close())
	}
	r.callers = r.serve(listeners.callers, r.entry)
	r.operators = r.serve(listeners.operators, r.operatorHandler())
	o.Logger.WithFields(log.Fields{
		"Router": r.self.ID, "Incarnation": o.Incarnation, "FailureDomain": r.self.FailureDomain,
		"CallerAddress": r.callerAt, "PeerAddress": r.self.PeerAddress, "OperatorAddress": r.operatorAt,
	}).Info("RouterStarted")
	return r, nil
}

func (r *Router) limits() entry.Limits {
	s := r.options.Settings
	return entry.Limits{
		BodyBytes: s.Limits.BodyBytes, TotalBodyBytes: s.Limits.WaitingBytes, BodyTimeout: bodyTimeout,
		WriteTimeout: writeTimeout, RequestTimeout: requestTimeout, EntryHold: time.Duration(s.EntryHold),
	}
}

// CallerAddress is where the router listens for callers.
func (r *Router) CallerAddress() netip.AddrPort { return r.callerAt }

// PeerAddress is where the router listens for other routers.
func (r *Router) PeerAddress() netip.AddrPort { return r.self.PeerAddress }

// OperatorAddress is where the router listens for operators.
func (r *Router) OperatorAddress() netip.AddrPort { return r.operatorAt }

// Registry holds the router's metrics.
func (r *Router) Registry() metrics.Registry { return r.options.Registry }

// Waiting is the number of requests that wait here for a decision.
func (r *Router) Waiting() int { return r.scheduling.Waiting() }

// Version identifies the operators' text in force.
func (r *Router) Version() revision.Version { return r.fleet.configuration().Version }

// Line is what is known of one organisation's waiting requests here.
func (r *Router) Queue(organisation string) execution.QueueStats {
	return r.scheduling.QueueStats(organisation)
}

// Fleet returns the fleet as the router sees it now.
func (r *Router) Fleet() *view.Snapshot { return r.fleet.View() }

// serve runs an HTTP server on the listener until it is shut down.
func (r *Router) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAliveTimeout,
		MaxHeaderBytes: int(r.options.Settings.Limits.HeaderBytes),
	}
	r.serving.Add(1)
	go func() {
		defer r.serving.Done()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.options.Logger.WithField("Address", l.Addr()).WithField("Error", err).Error("ServerFailed")
		}
	}()
	return s
}

// Drain is a planned stop: no entry answer names this router any more, it goes
// on serving until the last answer that named it has run out, refuses what
// still waits as not run, and lets every request in flight end. When the
// context ends first, what is left is cut.
func (r *Router) Drain(ctx context.Context) error {
	log := r.options.Logger.WithField("Router", r.self.ID)
	log.Info("DrainStarted")
	r.announceDrain()
	hold := time.NewTimer(time.Duration(r.options.Settings.EntryHold) + drainMargin)
	defer hold.Stop()
	select {
	case <-hold.C:
	case <-ctx.Done():
	}
	r.entry.Drain()
	r.scheduling.RefuseWaiting(time.Now())
	if err := r.callers.Shutdown(ctx); err != nil {
		log.WithField("Error", err).Warn("DrainCut")
		r.Close()
		return fmt.Errorf("drain router %s: %w", r.self.ID, err)
	}
	r.claims.wait(ctx)
	log.Info("DrainFinished")
	r.members.leave()
	r.Close()
	return nil
}

// Close ends everything at once and waits for it.
func (r *Router) Close() {
	r.closing.Do(func() {
		_ = r.callers.Close()
		_ = r.operators.Close()
		r.serving.Wait()
		r.server.Close()
		r.closeParts()
		r.options.Logger.WithField("Router", r.self.ID).Info("RouterStopped")
	})
}

// closeParts ends what works in the background, the last started first.
func (r *Router) closeParts() {
	for i := len(r.components) - 1; i >= 0; i-- {
		r.components[i].Close()
	}
	r.scheduling.Close()
	r.peers.links.Close()
	_ = r.client.Close()
	r.guard.Close()
}
