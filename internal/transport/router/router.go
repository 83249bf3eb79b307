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
	"hyssopreach/internal/transport/memory"
	"hyssopreach/internal/transport/peer"
	"hyssopreach/internal/transport/rehearsal"
)

const (
	// bodyTimeout bounds the time in which a caller must send its body.
	bodyTimeout = 20 * time.Second
	// writeTimeout bounds the time in which a caller must receive each part of
	// an answer.
	writeTimeout = 20 * time.Second
	// headerTimeout bounds the time in which a caller must send its headers.
	headerTimeout = 10 * time.Second
	// keepAliveTimeout is the time after which an idle connection of a caller is
	// closed.
	keepAliveTimeout = 2 * time.Minute
	// requestTimeout is the timeout of requests that state no deadline.
	requestTimeout = 2 * time.Minute
	// drainMargin is added to Settings.EntryHold, the time for which callers may
	// use a list of routers that they have received, to give the time for which a
	// draining router continues to serve. It covers the time until the last peer
	// knows that this router is draining and stops listing it.
	drainMargin = 2 * time.Second
)

// Options holds the settings and the dependencies of a router.
type Options struct {
	Settings *settings.Settings
	// Incarnation must grow with each start of this router; the start time in
	// nanoseconds is suitable.
	Incarnation uint64
	Network     Network
	// Scheduler is the scheduling policy; nil means the default one.
	Scheduler schedule.Scheduler
	Logger    log.Interface
	Registry  metrics.Registry
}

// Router is a running router that is configured by the operators' text.
type Router struct {
	options         Options
	self            view.Router
	fleet           *fleet
	peers           *peers
	server          *peer.Server
	client          *endpoint.Client
	scheduling      *execution.Scheduling
	entry           *entry.Handler
	callers         *http.Server
	operators       *http.Server
	members         *members
	claims          *claims
	suspects        *suspects
	demand          *demand
	faultNetwork    *rehearsal.FaultNetwork
	configurations  *configurations
	components      []component
	watchers        []execution.Watcher
	serving         sync.WaitGroup
	callerAddress   netip.AddrPort
	operatorAddress netip.AddrPort

	closing sync.Once
}

// component is a part of the router that works in the background. Close stops
// that work and waits until it has ended.
type component interface {
	Close()
}

// Start opens the listeners and starts to serve. The router stops with Drain or
// Close.
func Start(ctx context.Context, o Options) (*Router, error) {
	if o.Scheduler == nil {
		o.Scheduler = defaultScheduler(o.Incarnation)
	}
	r := &Router{options: o}
	r.faultNetwork = rehearsal.New(o.Network, rehearsal.Location{FailureDomain: o.Settings.FailureDomain, Router: o.Settings.Name},
		rehearsal.Timeouts{DialTimeout: dialTimeout, SilenceTimeout: silenceTimeout})
	o.Network, r.options.Network = r.faultNetwork, r.faultNetwork
	listeners, err := r.listen(ctx)
	if err != nil {
		r.faultNetwork.Close()
		return nil, err
	}
	r.fleet = newFleet(r.self)
	links := peer.NewLinks(r.self.ID, o.Incarnation, o.Network, o.Registry, o.Logger)
	r.peers = &peers{fleet: r.fleet, links: links, logger: o.Logger, receivers: make(map[string]receiver)}
	answers := memory.NewLimiter(Resources{}.answerBytes(o.Settings.Limits.WaitingBytes))
	r.client = endpoint.NewClientWithMemory(o.Network.DialContext, answers)
	r.scheduling = execution.NewScheduling(o.Scheduler, r.peers, o.Logger)
	r.peers.receiveScheduler = func(d schedule.Delivery) { r.scheduling.Input(d) }
	r.fleet.watch(func(s *view.Snapshot) {
		r.faultNetwork.SetRouters(s.Routers)
		if index := r.fleet.Index(); index != nil {
			r.faultNetwork.SetText(index.Document())
		}
	})
	r.startComponents()
	r.fleet.watch(func(s *view.Snapshot) { r.scheduling.Input(schedule.Change{View: s}) })
	runner := execution.NewRunner(r.scheduling, &backend{r.client}, r.fleet, r.demand, execution.NewBudget(), o.Logger, r.watchers...)
	runner.AnswerMemory = answers
	r.claims.executor = runner
	r.entry = entry.New(r.self.ID, r.limits(), r.fleet, r.fleet, r.claims, o.Registry, o.Logger)
	if r.server, err = peer.Serve(listeners.peers, r.peers, o.Registry, o.Logger); err != nil {
		r.closeComponents()
		return nil, errors.Join(fmt.Errorf("start router %s: %w", r.self.ID, err), listeners.close())
	}
	r.callers = r.serve(listeners.callers, r.entry)
	r.operators = r.serve(listeners.operators, r.operatorHandler())
	o.Logger.WithFields(log.Fields{
		"Router": r.self.ID, "Incarnation": o.Incarnation, "FailureDomain": r.self.FailureDomain,
		"CallerAddress": r.callerAddress, "PeerAddress": r.self.PeerAddress, "OperatorAddress": r.operatorAddress,
	}).Info("RouterStarted")
	return r, nil
}

// limits returns the limits of the handler for callers.
func (r *Router) limits() entry.Limits {
	s := r.options.Settings
	return entry.Limits{
		BodyBytes: s.Limits.BodyBytes, TotalBodyBytes: s.Limits.WaitingBytes, BodyTimeout: bodyTimeout,
		WriteTimeout: writeTimeout, RequestTimeout: requestTimeout, EntryHold: time.Duration(s.EntryHold),
	}
}

// CallerAddress returns the address at which the router listens for callers.
func (r *Router) CallerAddress() netip.AddrPort { return r.callerAddress }

// PeerAddress returns the address at which the router listens for other routers.
func (r *Router) PeerAddress() netip.AddrPort { return r.self.PeerAddress }

// OperatorAddress returns the address at which the router listens for operators.
func (r *Router) OperatorAddress() netip.AddrPort { return r.operatorAddress }

// Registry returns the registry of the router's metrics.
func (r *Router) Registry() metrics.Registry { return r.options.Registry }

// Waiting returns the number of requests that the scheduler has neither started
// nor refused.
func (r *Router) Waiting() int { return r.scheduling.Waiting() }

// Version returns the version of the operators' text in force.
func (r *Router) Version() revision.Version { return r.fleet.configuration().Version }

// Queue returns the state of the organisation's queue of waiting requests here.
func (r *Router) Queue(organisation string) execution.QueueStats {
	return r.scheduling.QueueStats(organisation)
}

// Fleet returns the router's current view of the fleet.
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

// Drain performs a planned stop. Routers stop listing this router in entry
// answers, the lists of routers that callers get; it serves until the last entry
// answer that lists it has expired, then refuses the requests that still wait,
// stating that they have not run unless an earlier attempt may have run, and lets
// every request in flight end. If the context ends first, the remaining requests
// are cut off.
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

// Close stops the router at once, cutting off requests in flight, and waits
// until all its goroutines have ended.
func (r *Router) Close() {
	r.closing.Do(func() {
		_ = r.callers.Close()
		_ = r.operators.Close()
		r.serving.Wait()
		r.server.Close()
		r.closeComponents()
		r.options.Logger.WithField("Router", r.self.ID).Info("RouterStopped")
	})
}

// closeComponents closes the components in the reverse order of their start, and
// then the links and clients that they use.
func (r *Router) closeComponents() {
	for i := len(r.components) - 1; i >= 0; i-- {
		r.components[i].Close()
	}
	r.scheduling.Close()
	r.peers.links.Close()
	_ = r.client.Close()
	r.faultNetwork.Close()
}
