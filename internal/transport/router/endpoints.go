package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	table "hyssopreach/internal/coordination/endpoint"
	"hyssopreach/internal/coordination/schedule"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/endpoint"
	"hyssopreach/internal/transport/execution"
	services "hyssopreach/internal/transport/platform"
)

const (
	// endpointTick is the time between two ticks of the endpoint table.
	endpointTick = 100 * time.Millisecond
	// endpointInputs bounds the inputs that wait for the table. What doesn't
	// fit is dropped: polls and news come again.
	endpointInputs = 4096
	// pollTimeout bounds one poll of an endpoint or of the VM list.
	pollTimeout = time.Second
	// maxPolls bounds the polls under way.
	maxPolls = 64
)

// endpoints feeds the endpoint table with what the text, the VM list, the
// endpoints themselves, attempts and peers tell, and does what it asks.
type endpoints struct {
	fleet  *fleet
	peers  *peers
	client *endpoint.Client
	list   *services.VMList
	loads  func(schedule.Input)
	logger log.Interface

	table  *table.Table
	inputs chan table.Input
	polls  chan struct{}
	cancel context.CancelFunc
	ended  sync.WaitGroup

	// index and view are what the table was last told of; only run uses them.
	index *text.Index
	view  *view.Snapshot
}

// newEndpoints returns the component; loads takes the reports of engines.
func newEndpoints(f *fleet, p *peers, client *endpoint.Client, list *services.VMList, loads func(schedule.Input), logger log.Interface, seed uint64) *endpoints {
	e := &endpoints{
		fleet: f, peers: p, client: client, list: list, loads: loads, logger: logger,
		table:  table.New(rand.New(rand.NewPCG(seed, 3))),
		inputs: make(chan table.Input, endpointInputs),
		polls:  make(chan struct{}, maxPolls),
	}
	p.On("EndpointNews", e.receive)
	return e
}

func (e *endpoints) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.ended.Go(func() { e.run(ctx) })
}

// Close stops polling and waits.
func (e *endpoints) Close() {
	e.cancel()
	e.ended.Wait()
	_ = e.list.Close()
}

func (e *endpoints) run(ctx context.Context) {
	ticker := time.NewTicker(endpointTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-e.inputs:
			e.step(ctx, in)
		case <-ticker.C:
			e.refresh(ctx)
			e.step(ctx, table.Tick{})
		}
	}
}

// refresh tells the table of a new text and of new routers.
func (e *endpoints) refresh(ctx context.Context) {
	if index := e.fleet.Index(); index != e.index {
		e.index = index
		e.step(ctx, table.Configuration{Endpoints: configuredEndpoints(index.Document())})
	}
	if v := e.fleet.View(); v != e.view {
		e.view = v
		e.step(ctx, table.Routers{View: v})
	}
}

func (e *endpoints) step(ctx context.Context, in table.Input) {
	for _, out := range e.table.Step(time.Now(), in) {
		switch out := out.(type) {
		case table.Changed:
			e.fleet.setEndpoints(out.Endpoints)
		case table.Poll:
			e.background(func() { e.poll(ctx, out) })
		case table.ReadList:
			e.background(func() { e.readList(ctx) })
		case table.Send:
			e.peers.Send(out.To, &wire.Message{Kind: &wire.Message_EndpointNews{EndpointNews: wire.FromEndpointNews(out.News)}})
		case table.Decision:
			fields := make(log.Fields, len(out.Fields)/2)
			for i := 0; i+1 < len(out.Fields); i += 2 {
				fields[out.Fields[i]] = out.Fields[i+1]
			}
			e.logger.WithFields(fields).Info(out.Event)
		}
	}
}

// background runs a poll unless too many are under way; then it is left out,
// and the table asks again.
func (e *endpoints) background(poll func()) {
	select {
	case e.polls <- struct{}{}:
		e.ended.Go(func() {
			poll()
			<-e.polls
		})
	default:
	}
}

// feed hands an input to the table without blocking.
func (e *endpoints) feed(in table.Input) {
	select {
	case e.inputs <- in:
	default:
	}
}

func (e *endpoints) poll(ctx context.Context, p table.Poll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var load platform.Load
	var err error
	if p.Engine {
		load, err = e.client.Load(ctx, p.Address)
	} else {
		load.Instance, err = e.client.Instance(ctx, p.Address)
	}
	if err != nil {
		e.feed(table.PollFailed{Key: p.Key})
		return
	}
	e.feed(table.Report{Key: p.Key, Started: load.Started, Leaving: load.Leaving, Models: modelNames(load.Models)})
	if !p.Engine {
		return
	}
	e.loads(schedule.Load{
		Endpoint: table.NewID(p.Key, load.Started), Running: load.Running, Queued: load.Queued,
		MemoryUsed: load.MemoryUsed, MeasuredAt: load.MeasuredAt,
	})
}

// modelNames are the names by which callers reach the models; nil stays nil,
// since it means that the endpoint doesn't say.
func modelNames(models []platform.LoadedModel) []string {
	if models == nil {
		return nil
	}
	names := []string{}
	for _, m := range models {
		names = append(names, m.Name)
		for _, adapter := range m.Adapters {
			names = append(names, m.Name+":"+adapter)
		}
	}
	return names
}

func (e *endpoints) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := e.list.VMs(ctx)
	if err != nil {
		e.logger.WithError(err).Warn("VMListUnavailable")
		return
	}
	in := table.List{Version: list.Version, AsOf: list.AsOf}
	for _, vm := range list.VMs {
		in.VMs = append(in.VMs, table.VM{Name: vm.Name, Leaving: vm.Leaving})
	}
	e.feed(in)
}

func (e *endpoints) receive(from view.RouterID, _ uint64, m *wire.Message) {
	e.feed(table.Delivery{From: from, News: wire.ToEndpointNews(m.GetEndpointNews())})
}

// AttemptStarted does nothing; see execution.Watcher.
func (e *endpoints) AttemptStarted(*execution.Attempt) {}

// AttemptEnded tells the table how an attempt ended.
func (e *endpoints) AttemptEnded(a *execution.Attempt, result schedule.Result, _ error) {
	switch result {
	case schedule.ResultFinished:
		e.feed(table.Outcome{ID: a.Endpoint.ID})
	case schedule.ResultNotSent, schedule.ResultBroken:
		e.feed(table.Outcome{ID: a.Endpoint.ID, Failed: true})
	}
}

// configuredEndpoints lists the endpoints as the text names them.
func configuredEndpoints(doc *text.Document) []table.Configured {
	engines := make(map[string]bool)
	for i := range doc.Services {
		if doc.Services[i].Kind == text.KindModel {
			engines[doc.Services[i].Pool] = true
		}
	}
	models := make(map[string][]string)
	for i := range doc.Models {
		m := &doc.Models[i]
		models[m.Pool] = append(models[m.Pool], m.Name)
		for _, adapter := range m.Adapters {
			models[m.Pool] = append(models[m.Pool], m.Name+":"+adapter)
		}
	}
	var all []table.Configured
	for i := range doc.Pools {
		p := &doc.Pools[i]
		for j := range p.Endpoints {
			e := &p.Endpoints[j]
			all = append(all, table.Configured{
				Key: e.Key(), Pool: p.Name, VM: e.VM, FailureDomain: e.FailureDomain,
				Address: e.Address, Engine: engines[p.Name], Models: models[p.Name],
			})
		}
	}
	return all
}
