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
	// endpointTick is the distance of the steps in which polls may fall due.
	endpointTick = 100 * time.Millisecond
	// pollTimeout bounds one poll of an endpoint.
	pollTimeout = time.Second
	// endpointListTimeout bounds one read of the VM list. It is short, because
	// an endpoint that leaves must be known within seconds.
	endpointListTimeout = time.Second
	// maxPolls bounds the polls that are open at once.
	maxPolls = 64
)

// endpoints runs the endpoint table.
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
	polls      chan struct{}
	suspects   *suspects
}

func startEndpoints(r *Router, list *platform.VMList) *endpoints {
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoints{
		client: r.client, list: list, members: r.members, peers: r.peers, fleet: r.fleet, scheduling: r.scheduling,
		logger: r.options.Logger, ctx: ctx, cancel: cancel, polls: make(chan struct{}, maxPolls),
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

// spawn runs work beside the driver, which must not block.
func (e *endpoints) spawn(work func()) {
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		work()
	}()
}

// Close stops and waits for open polls.
func (e *endpoints) Close() {
	e.cancel()
	e.driver.Close()
	e.calls.Wait()
	_ = e.list.Close()
}

// tick steps the table at a steady pace, and tells it of a view or a text that
// has changed since the last step. The fleet cannot tell it directly, because
// it is locked while it tells and the table's outputs change it.
func (e *endpoints) tick() {
	t := time.NewTicker(endpointTick)
	defer t.Stop()
	var known *view.Snapshot
	var index *text.Index
	for {
		if now := e.fleet.Index(); now != index {
			index = now
			e.driver.Input(endpoint.Configuration{Endpoints: configuredEndpoints(index.Document())})
		}
		if now := e.fleet.View(); now != known {
			known = now
			e.driver.Input(endpoint.Routers{View: now})
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
		// The table reuses nothing of the slice, but the fleet sorts it.
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

// poll asks an endpoint for its load. A poll that finds too many others open
// is left out; the table polls again.
func (e *endpoints) poll(o endpoint.Poll) {
	select {
	case e.polls <- struct{}{}:
	default:
		return
	}
	e.spawn(func() {
		defer func() { <-e.polls }()
		ctx, cancel := context.WithTimeout(e.ctx, pollTimeout)
		defer cancel()
		e.ask(ctx, o)
	})
}

func (e *endpoints) ask(ctx context.Context, o endpoint.Poll) {
	asked := time.Now()
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
	e.suspects.alive(endpoint.NewID(o.Key, load.Started), asked)
	e.driver.Input(endpoint.Report{Key: o.Key, Started: load.Started, Leaving: load.Leaving, Models: modelNames(load.Models)})
	if o.Engine {
		e.scheduling.Input(schedule.Load{
			Endpoint: endpoint.NewID(o.Key, load.Started), Running: load.Running, Queued: load.Queued,
			MemoryUsed: load.MemoryUsed, MeasuredAt: load.MeasuredAt,
		})
	}
}

func (e *endpoints) readList() {
	ctx, cancel := context.WithTimeout(e.ctx, endpointListTimeout)
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
	e.members.listed(&list)
}

// AttemptStarted does nothing; only ends tell about an endpoint's health.
func (e *endpoints) AttemptStarted(*execution.Attempt) {}

// AttemptEnded tells the table how an endpoint did. An attempt that its caller
// gave up, or gave too little time, says nothing of the endpoint; one that
// found nobody within the time of a dial does.
func (e *endpoints) AttemptEnded(a *execution.Attempt, result schedule.Result, err error) {
	cut := result == schedule.ResultBroken && errors.Is(err, context.DeadlineExceeded)
	if cut || errors.Is(err, context.Canceled) {
		return
	}
	switch result {
	case schedule.ResultFinished:
		e.driver.Input(endpoint.Outcome{ID: a.Endpoint.ID})
	case schedule.ResultNotSent, schedule.ResultBroken:
		e.driver.Input(endpoint.Outcome{ID: a.Endpoint.ID, Failed: true})
	}
}

// configuredEndpoints lists the endpoints as the text names them.
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
			one := &p.Endpoints[j]
			all = append(all, endpoint.Configured{
				Key: one.Key(), Pool: p.Name, VM: one.VM, FailureDomain: one.FailureDomain,
				Address: one.Address, Engine: engines[p.Name], Models: models[p.Name],
			})
		}
	}
	return all
}

// modelNames lists the names under which callers may ask for the models: each
// model, and each of its adapters as "Model:Adapter". Nil stays nil, since it
// means that the endpoint does not say.
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
