package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/endpoint"
	"hyssopreach/internal/coordination/schedule"
	wire "hyssopreach/internal/protocol/peer"
	platformtypes "hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	client "hyssopreach/internal/transport/endpoint"
	"hyssopreach/internal/transport/execution"
	"hyssopreach/internal/transport/platform"
)

const (
	// endpointStepInterval is the time between two steps of the endpoint table;
	// polls become due in these steps.
	endpointStepInterval = 100 * time.Millisecond
	// pollTimeout bounds one poll of an endpoint.
	pollTimeout = time.Second
	// vmListTimeout bounds one read of the VM list. It is short, because
	// routers must learn within seconds that an endpoint is leaving.
	vmListTimeout = time.Second
	// maxPolls bounds the number of concurrent polls.
	maxPolls = 64
)

// endpoints runs the endpoint table, which is the state machine of package
// coordination/endpoint: it polls endpoints, reads the VM list and exchanges
// endpoint states with other routers.
type endpoints struct {
	driver     *driver.Driver[endpoint.Input, endpoint.Output]
	client     *client.Client
	list       *platform.VMList
	members    *members
	peers      *peers
	fleet      *fleet
	scheduling *execution.Scheduling
	logger     log.Interface
	ctx        context.Context
	cancel     context.CancelFunc
	calls      sync.WaitGroup
	pollSlots  chan struct{} // holds a token for each open poll
	suspects   *suspects
}

func startEndpoints(r *Router, list *platform.VMList) *endpoints {
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoints{
		client: r.client, list: list, members: r.members, peers: r.peers, fleet: r.fleet, scheduling: r.scheduling,
		logger: r.options.Logger, ctx: ctx, cancel: cancel, pollSlots: make(chan struct{}, maxPolls),
		suspects: r.suspects,
	}
	table := endpoint.New(random(r.options.Incarnation, "endpoint"))
	e.driver = driver.New(table.Step, endpoint.Input(endpoint.Tick{}), e.apply)
	r.peers.Register("EndpointNews", func(from view.RouterID, _ uint64, m *wire.Message) {
		e.driver.Input(endpoint.Delivery{From: from, Update: wire.ToEndpointNews(m.GetEndpointNews())})
	})
	e.spawn(e.tick)
	return e
}

// spawn runs work in a goroutine of its own, because the driver must not block.
func (e *endpoints) spawn(work func()) {
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		work()
	}()
}

// Close stops the table and waits for open polls and reads.
func (e *endpoints) Close() {
	e.cancel()
	e.driver.Close()
	e.calls.Wait()
	_ = e.list.Close()
}

// tick steps the table at fixed intervals and passes it the view and the
// operators' text if they have changed since the last step. The fleet cannot
// pass them directly, because it calls its watchers while it is locked and the
// table's outputs change the fleet.
func (e *endpoints) tick() {
	t := time.NewTicker(endpointStepInterval)
	defer t.Stop()
	var lastView *view.Snapshot
	var lastIndex *text.Index
	for {
		if current := e.fleet.Index(); current != lastIndex {
			lastIndex = current
			e.driver.Input(endpoint.Configuration{Endpoints: configuredEndpoints(lastIndex.Document())})
		}
		if current := e.fleet.View(); current != lastView {
			lastView = current
			e.driver.Input(endpoint.Routers{View: current})
		}
		e.driver.Input(endpoint.Tick{})
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *endpoints) apply(out endpoint.Output) {
	switch o := out.(type) {
	case endpoint.Changed:
		// The copy is not required: the table does not reuse the slice, and
		// setEndpoints sorts a copy of its own.
		e.fleet.setEndpoints(slices.Clone(o.Endpoints))
	case endpoint.Poll:
		e.poll(o)
	case endpoint.ReadList:
		e.spawn(e.readList)
	case endpoint.Send:
		e.peers.Send(o.To, &wire.Message{Kind: &wire.Message_EndpointNews{EndpointNews: wire.FromEndpointNews(o.Update)}})
	case endpoint.Decision:
		driver.LogDecision(e.logger, o.Event, o.Fields)
	}
}

// poll requests the load of an endpoint. If maxPolls polls are open already, it
// skips the poll; the table polls again later.
func (e *endpoints) poll(o endpoint.Poll) {
	select {
	case e.pollSlots <- struct{}{}:
	default:
		return
	}
	e.spawn(func() {
		defer func() { <-e.pollSlots }()
		ctx, cancel := context.WithTimeout(e.ctx, pollTimeout)
		defer cancel()
		e.readLoad(ctx, o)
	})
}

// readLoad reads the load of an engine, or the instance of a plain endpoint. It
// reports the result to the table, and a success also to the suspects and, for an
// engine, to the scheduler.
func (e *endpoints) readLoad(ctx context.Context, o endpoint.Poll) {
	sentAt := time.Now()
	var load platformtypes.Load
	var err error
	if o.Engine {
		load, err = e.client.Load(ctx, o.Address)
	} else {
		load.Instance, err = e.client.Instance(ctx, o.Address)
	}
	if err != nil {
		if e.ctx.Err() == nil {
			e.driver.Input(endpoint.PollFailed{Key: o.Key})
		}
		return
	}
	e.suspects.reportAlive(endpoint.NewID(o.Key, load.Started), sentAt)
	e.driver.Input(endpoint.Report{Key: o.Key, Started: load.Started, Leaving: load.Leaving, Models: modelNames(load.Models)})
	if o.Engine {
		e.scheduling.Input(schedule.Load{
			Endpoint: endpoint.NewID(o.Key, load.Started), Running: load.Running, Queued: load.Queued,
			MemoryUsed: load.MemoryUsed, MeasuredAt: load.MeasuredAt,
		})
	}
}

func (e *endpoints) readList() {
	ctx, cancel := context.WithTimeout(e.ctx, vmListTimeout)
	defer cancel()
	list, err := e.list.VMs(ctx)
	if err != nil {
		if e.ctx.Err() == nil {
			e.logger.WithField("Error", err).Warn("VMListUnavailable")
		}
		return
	}
	in := endpoint.List{Version: list.Version, AsOf: list.AsOf}
	for _, vm := range list.VMs {
		in.VMs = append(in.VMs, endpoint.VM{Name: vm.Name, Leaving: vm.Leaving})
	}
	e.driver.Input(in)
	e.members.receiveList(&list)
}

// AttemptStarted does nothing; only the end of an attempt shows whether the
// endpoint works.
func (e *endpoints) AttemptStarted(*execution.Attempt) {}

// AttemptEnded reports to the table whether the endpoint succeeded or failed.
// Attempts that the caller cancelled, or that broke off at the caller's
// deadline, prove nothing about the endpoint. An attempt that could not be sent
// because the dial timed out counts as a failure.
func (e *endpoints) AttemptEnded(a *execution.Attempt, result schedule.Result, err error) {
	timedOut := result == schedule.ResultBroken && errors.Is(err, context.DeadlineExceeded)
	if timedOut || errors.Is(err, context.Canceled) {
		return
	}
	switch result {
	case schedule.ResultFinished:
		e.driver.Input(endpoint.Outcome{ID: a.Endpoint.ID})
	case schedule.ResultNotSent, schedule.ResultBroken:
		e.driver.Input(endpoint.Outcome{ID: a.Endpoint.ID, Failed: true})
	}
}

// configuredEndpoints returns the endpoints that the operators' text configures.
func configuredEndpoints(doc *text.Document) []endpoint.Configured {
	engines := make(map[string]bool)
	for i := range doc.Services {
		if doc.Services[i].Kind == text.KindModel {
			engines[doc.Services[i].Pool] = true
		}
	}
	models := make(map[string][]string)
	for i := range doc.Models {
		m := &doc.Models[i]
		models[m.Pool] = append(models[m.Pool], modelNames([]platformtypes.LoadedModel{{Name: m.Name, Adapters: m.Adapters}})...)
	}
	var all []endpoint.Configured
	for i := range doc.Pools {
		p := &doc.Pools[i]
		for j := range p.Endpoints {
			configured := &p.Endpoints[j]
			all = append(all, endpoint.Configured{
				Key: configured.Key(), Pool: p.Name, VM: configured.VM, FailureDomain: configured.FailureDomain,
				Address: configured.Address, Engine: engines[p.Name], Models: models[p.Name],
			})
		}
	}
	return all
}

// modelNames returns the names under which callers may request the models: each
// model, and each of its adapters as "Model:Adapter". It returns nil for nil,
// which means that the endpoint does not report its models.
func modelNames(loaded []platformtypes.LoadedModel) []string {
	if loaded == nil {
		return nil
	}
	names := []string{}
	for _, m := range loaded {
		names = append(names, m.Name)
		for _, a := range m.Adapters {
			names = append(names, m.Name+":"+a)
		}
	}
	slices.Sort(names)
	return names
}
