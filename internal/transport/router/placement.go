package router

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/endpoint"
	"hyssopreach/internal/coordination/placement"
	wire "hyssopreach/internal/protocol/peer"
	platformtypes "hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/state/invariant"
	"hyssopreach/internal/state/lease"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	client "hyssopreach/internal/transport/endpoint"
	"hyssopreach/internal/transport/platform"
)

const (
	// demandInterval is the time between two reports of demand to a planner.
	demandInterval = 5 * time.Second
	// placementInterval is the time between two updates of the planners from the
	// operators' text and the view.
	placementInterval = 500 * time.Millisecond
	// leaseAppendTimeout bounds one append to the stream of leases.
	leaseAppendTimeout = 2 * time.Second
	// leaseReadWait is how long a read waits for new leases.
	leaseReadWait = 5 * time.Second
	// leaseReadTimeout bounds one read, including the wait for new leases.
	leaseReadTimeout = 10 * time.Second
	// surveyTimeout bounds the query of one engine for its load.
	surveyTimeout = time.Second
	// maxSurveys bounds the number of engines that are queried concurrently.
	maxSurveys = 32
)

// placements runs a planner, the state machine of package
// coordination/placement, for each pool of engines.
type placements struct {
	self    view.Router
	holder  lease.Holder
	fleet   *fleet
	peers   *peers
	client  *client.Client
	log     *platform.Log
	demand  *demand
	logger  log.Interface
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	planners map[string]*planner // guarded by mu
}

// planner is the planner of one pool.
type planner struct {
	*placements
	pool string
	// fencing is the fencing number of the last order. Only apply accesses it,
	// and the driver serialises the calls of apply.
	fencing uint64
	driver  *driver.Driver[placement.Input, placement.Output]
}

func startPlacements(r *Router, d *demand) *placements {
	ctx, cancel := context.WithCancel(context.Background())
	p := &placements{
		self: r.self, holder: lease.Holder{Router: string(r.self.ID), Incarnation: r.options.Incarnation},
		fleet: r.fleet, peers: r.peers, client: r.client, demand: d, logger: r.options.Logger,
		log: platform.NewLog(r.options.Settings.LogAddress, r.options.Network.DialContext),
		ctx: ctx, cancel: cancel, planners: map[string]*planner{},
	}
	r.peers.Register("Demand", func(from view.RouterID, _ uint64, m *wire.Message) {
		p.receiveDemand(from, m.GetDemand())
	})
	r.peers.Register("Withdrawal", func(_ view.RouterID, _ uint64, m *wire.Message) {
		w := m.GetWithdrawal()
		r.fleet.withdraw(view.EndpointID(w.GetEndpoint()), w.GetModels(), time.UnixMilli(w.GetUntilUnixMillis()))
	})
	p.spawn(p.tick)
	return p
}

// Close stops the planners and waits for the goroutines that they have started.
func (p *placements) Close() {
	p.cancel()
	p.mu.Lock()
	planners := p.planners
	p.planners = map[string]*planner{}
	p.mu.Unlock()
	for _, pl := range planners {
		pl.driver.Close()
	}
	p.running.Wait()
	_ = p.log.Close()
}

// spawn runs work in a goroutine of its own, because the drivers must not block.
func (p *placements) spawn(work func()) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		work()
	}()
}

// tick updates the planners at fixed intervals until the router stops, and
// reports the demand at this router every demandInterval.
func (p *placements) tick() {
	t := time.NewTicker(placementInterval)
	defer t.Stop()
	var demandAt time.Time
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-t.C:
			p.fleet.expire(now)
			reportDue := !now.Before(demandAt)
			if reportDue {
				demandAt = now.Add(demandInterval)
			}
			if index := p.fleet.Index(); index != nil {
				p.update(index.Document(), reportDue)
			}
		}
	}
}

// update passes the models of each pool, and whether this router owns the pool,
// to the pool's planner. If reportDue is set, it reports the demand as well.
func (p *placements) update(doc *text.Document, reportDue bool) {
	byPool := map[string][]placement.Model{}
	for i := range doc.Models {
		m := &doc.Models[i]
		byPool[m.Pool] = append(byPool[m.Pool], placement.Model{
			Name: m.Name, Version: m.Version, Adapters: m.Adapters, SizeBytes: m.SizeBytes, MinReplicas: m.MinReplicas,
		})
	}
	v := p.fleet.View()
	for pool, models := range byPool {
		owner, ok := v.Owner("placement/" + pool)
		pl := p.planner(pool)
		pl.driver.Input(placement.Configured{Models: models})
		pl.driver.Input(placement.Ownership{Owned: ok && owner == p.self.ID})
		if ok && reportDue {
			p.reportDemand(owner, pool)
		}
	}
}

// planner returns the planner of the pool, starting it if necessary.
func (p *placements) planner(pool string) *planner {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.planners[pool]
	if pl == nil {
		pl = &planner{placements: p, pool: pool}
		pl.driver = driver.New(placement.New(pool, p.holder).Step, placement.Input(placement.Alarm{}), pl.apply)
		p.planners[pool] = pl
	}
	return pl
}

// reportDemand sends the demand at this router to the owner of the pool.
func (p *placements) reportDemand(owner view.RouterID, pool string) {
	counts := p.demand.countsOf(pool)
	if len(counts) == 0 {
		return
	}
	m := &wire.Demand{Pool: pool}
	for name, n := range counts {
		m.Models = append(m.Models, &wire.ModelDemand{Model: name, Waiting: uint32(max(n.waiting, 0)), Running: uint32(max(n.running, 0))})
	}
	if owner == p.self.ID {
		p.receiveDemand(owner, m)
		return
	}
	p.peers.Send(owner, &wire.Message{Kind: &wire.Message_Demand{Demand: m}})
}

// receiveDemand passes a report of demand to the planner of its pool.
func (p *placements) receiveDemand(from view.RouterID, m *wire.Demand) {
	p.mu.Lock()
	pl := p.planners[m.GetPool()]
	p.mu.Unlock()
	if pl == nil {
		return
	}
	for _, d := range m.GetModels() {
		pl.driver.Input(placement.Demand{From: from, Model: d.GetModel(), Waiting: int(d.GetWaiting()), Running: int(d.GetRunning())})
	}
}

func (n *planner) apply(out placement.Output) {
	switch o := out.(type) {
	case placement.Append:
		n.spawn(func() { n.append(o.Record) })
	case placement.Read:
		n.spawn(func() { n.driver.Input(n.read(o)) })
	case placement.RequestReports:
		n.spawn(func() { n.driver.Input(placement.EngineReports{Engines: n.survey()}) })
	case placement.Withdraw:
		n.spawn(func() { n.withdraw(o) })
	case placement.Order:
		invariant.Check(o.Fencing >= n.fencing, invariant.FencingNeverFalls, "Pool", n.pool, "Endpoint", string(o.Engine))
		n.fencing = o.Fencing
		n.spawn(func() { n.order(o) })
	case placement.Wake:
		n.driver.WakeAt(o.At)
	case placement.Decision:
		driver.LogDecision(n.logger, o.Event, o.Fields)
	}
}

// withdraw sends the withdrawal to every other router and applies it here.
func (n *planner) withdraw(o placement.Withdraw) {
	m := &wire.Withdrawal{Endpoint: string(o.Engine), Models: o.Models, UntilUnixMillis: o.Until.UnixMilli()}
	for _, to := range n.fleet.View().Routers {
		if to.ID != n.self.ID {
			n.peers.Send(to.ID, &wire.Message{Kind: &wire.Message_Withdrawal{Withdrawal: m}})
		}
	}
	n.fleet.withdraw(o.Engine, o.Models, o.Until)
}

// append appends a record to the stream of leases. The planner is informed only
// that the append has ended; it learns the outcome by reading the stream.
func (n *planner) append(r lease.Record) {
	ctx, cancel := context.WithTimeout(n.ctx, leaseAppendTimeout)
	defer cancel()
	payload, err := r.Encode()
	if err == nil {
		_, err = n.log.Append(ctx, lease.Stream, [][]byte{payload})
	}
	if err != nil && n.ctx.Err() == nil {
		n.logger.WithField("Error", err).Warn("LeaseAppendFailed")
	}
	n.driver.Input(placement.AppendEnded{})
}

// read reads leases from the stream.
func (n *planner) read(o placement.Read) placement.Input {
	ctx, cancel := context.WithTimeout(n.ctx, leaseReadTimeout)
	defer cancel()
	var waitUntil time.Time
	if o.Wait {
		waitUntil = time.Now().Add(leaseReadWait)
	}
	page, err := n.log.Read(ctx, lease.Stream, o.From, waitUntil)
	var gone *platform.OffsetTrimmedError
	if errors.As(err, &gone) {
		return placement.OffsetTrimmed{Oldest: gone.Oldest}
	}
	if err != nil {
		return placement.ReadFailed{}
	}
	in := placement.Records{Next: page.Next}
	for _, r := range page.Records {
		record, err := lease.Decode(r.Payload)
		if err != nil {
			// A record that is not a lease is replaced by an empty one, which has
			// no effect but keeps the offsets without a gap. All readers do so.
			n.logger.WithField("Offset", r.Offset).WithField("Error", err).Error("LeaseMalformed")
			record = lease.Record{FormatVersion: lease.FormatVersion}
		}
		in.Records = append(in.Records, placement.Record{Offset: r.Offset, Appended: r.Appended, Record: record})
	}
	return in
}

// survey queries the engines of the pool for their current loads. An engine that
// does not answer is left out.
func (n *planner) survey() []placement.Engine {
	index := n.fleet.Index()
	pool := index.Pool(n.pool)
	if pool == nil {
		return nil
	}
	var mu sync.Mutex
	var all []placement.Engine
	var polls sync.WaitGroup
	slots := make(chan struct{}, maxSurveys)
	for i := range pool.Endpoints {
		configured := &pool.Endpoints[i]
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(n.ctx, surveyTimeout)
			defer cancel()
			load, err := n.client.Load(ctx, configured.Address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, placement.Engine{
				ID: endpoint.NewID(configured.Key(), load.Started), Slots: max(configured.Accelerators, 1),
				ChecksFencing: configured.ChecksFencing, Leaving: load.Leaving || n.leaving(endpoint.NewID(configured.Key(), load.Started)),
				Loaded: fromLoaded(load.Models), Running: load.Running, MeasuredAt: load.MeasuredAt,
			})
		})
	}
	polls.Wait()
	slices.SortFunc(all, func(a, b placement.Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// leaving reports whether the view marks the endpoint as leaving.
func (n *planner) leaving(id view.EndpointID) bool {
	v := n.fleet.View()
	i := slices.IndexFunc(v.Endpoints, func(e view.Endpoint) bool { return e.ID == id })
	return i >= 0 && v.Endpoints[i].Leaving
}

// order sends an order to its engine unless the last instant for sending it has
// passed.
func (n *planner) order(o placement.Order) {
	ctx, cancel := context.WithDeadline(n.ctx, o.NotAfter)
	defer cancel()
	address, ok := n.address(o.Engine)
	if !ok || ctx.Err() != nil {
		return
	}
	err := n.client.Order(ctx, address, platformtypes.Order{Fencing: o.Fencing, Models: toLoaded(o.Models)})
	if err != nil && n.ctx.Err() == nil {
		n.logger.WithFields(log.Fields{"Pool": n.pool, "Endpoint": o.Engine, "Fencing": o.Fencing, "Error": err}).Warn("OrderFailed")
	}
}

func (n *planner) address(id view.EndpointID) (netip.AddrPort, bool) {
	v := n.fleet.View()
	i := slices.IndexFunc(v.Endpoints, func(e view.Endpoint) bool { return e.ID == id })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	return v.Endpoints[i].Address, true
}

func fromLoaded(models []platformtypes.LoadedModel) []placement.LoadedModel {
	all := make([]placement.LoadedModel, len(models))
	for i, m := range models {
		all[i] = placement.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters}
	}
	return all
}

func toLoaded(models []placement.LoadedModel) []platformtypes.LoadedModel {
	all := make([]platformtypes.LoadedModel, len(models))
	for i, m := range models {
		all[i] = platformtypes.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters}
	}
	return all
}
