package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/state/lease"
	"hyssopreach/internal/state/view"
)

const (
	// planInterval is the time between two planning rounds of a lease holder.
	planInterval = 2 * time.Second
	// maxReportAge is the age from which an engine's report is ignored.
	maxReportAge = 10 * time.Second
	// demandLifetime is how long a router's demand report counts.
	demandLifetime = 20 * time.Second
	// restateInterval is the time after which an order that has not been carried
	// out is sent again. Until then the engine is assumed to be loading.
	restateInterval = time.Minute
	// withdrawalPropagation is the time within which a withdrawal reaches every
	// router.
	withdrawalPropagation = time.Second
	// maxDrainTime is how long an order waits for the engine's requests to end.
	maxDrainTime = 30 * time.Second
	// withdrawalLifetime is the time after which a withdrawal ends by itself, in
	// case its planner fails before cancelling it.
	withdrawalLifetime = maxDrainTime + maxReportAge
	// meanWeight is the weight of a round's demand in the smoothed mean.
	meanWeight = 0.2
	// maxLoading is the number of engines that may load at once, so that the
	// weight store is not overloaded.
	maxLoading = 2
	// minChangeInterval is the least time between an engine's last order and a
	// swap on it. Changes that the text requires do not wait.
	minChangeInterval = 30 * time.Second
	// minSwapRatio is the ratio that a swap must exceed: the demand per copy of
	// the model that gains a copy to that of the model that loses one.
	minSwapRatio = 2.0
	// minSwapRounds is the number of consecutive rounds in which a swap must be
	// due.
	minSwapRounds = 3
)

// routerDemand is the demand that one router has reported.
type routerDemand struct {
	waiting, running int
	at               time.Time
}

// lastOrder is the last order for an engine.
type lastOrder struct {
	models []LoadedModel
	// at is the instant at which the order was sent or, before that, announced.
	at time.Time
	// sent is set once the order has been sent. Before that, the engine gets no
	// new work for the models that the order unloads.
	sent bool
	// reason is the end of the order's log line: alternating keys and values.
	reason []string
	// confirmed is set once the engine has reported the ordered models.
	confirmed bool
}

// swap is a replacement on account of demand: a copy of one model for a copy of
// another.
type swap struct{ in, out string }

// Planner plans the models of one pool. It is not safe for concurrent use.
type Planner struct {
	leaseClient *leaseClient
	models      []Model
	engines     []Engine
	demand      map[string]map[view.RouterID]routerDemand
	meanDemand  map[string]float64
	lastOrders  map[view.EndpointID]*lastOrder
	pendingSwap swap
	swapRounds  int
	planAt      time.Time
	wakeAt      time.Time
	outputs     []Output
}

// New returns the planner of a pool at one incarnation of a router.
func New(pool string, self lease.Holder) *Planner {
	return &Planner{
		leaseClient: newLeaseClient(pool, self), demand: map[string]map[view.RouterID]routerDemand{},
		meanDemand: map[string]float64{}, lastOrders: map[view.EndpointID]*lastOrder{},
	}
}

// Step takes one input at the given instant and returns the resulting actions
// in order. The returned slice is valid until the next Step.
func (p *Planner) Step(now time.Time, in Input) []Output {
	p.outputs = p.outputs[:0]
	h := p.leaseClient
	switch in := in.(type) {
	case Ownership:
		h.owned = in.Owned
	case Configured:
		p.models = in.Models
	case Demand:
		p.updateDemand(now, in)
	case EngineReports:
		p.engines = in.Engines
		p.round(now)
	case Records:
		p.outputs = append(p.outputs, h.handleRecords(now, in)...)
	case OffsetTrimmed:
		h.handleOffsetTrimmed(now, in.Oldest)
	case ReadFailed:
		h.readPending = false
		h.nextReadAt = now.Add(readRetryDelay)
	case AppendEnded:
		h.appendPending = false
	case Alarm:
		p.wakeAt = time.Time{}
	}
	p.outputs = append(p.outputs, h.advance(now)...)
	if h.mayOrder(now) && !now.Before(p.planAt) {
		p.planAt = now.Add(planInterval)
		p.outputs = append(p.outputs, RequestReports{})
	}
	p.wake(now)
	return p.outputs
}

// MayOrder reports whether orders may be given now.
func (p *Planner) MayOrder(now time.Time) bool { return p.leaseClient.mayOrder(now) }

func (p *Planner) wake(now time.Time) {
	at := p.leaseClient.nextWake(now)
	if p.leaseClient.mayOrder(now) && p.planAt.After(now) && (at.IsZero() || p.planAt.Before(at)) {
		at = p.planAt
	}
	if !at.IsZero() && !at.Equal(p.wakeAt) {
		p.wakeAt = at
		p.outputs = append(p.outputs, Wake{at})
	}
}

func (p *Planner) updateDemand(now time.Time, in Demand) {
	name, _, _ := strings.Cut(in.Model, ":") // without the adapter
	byRouter := p.demand[name]
	if byRouter == nil {
		byRouter = map[view.RouterID]routerDemand{}
		p.demand[name] = byRouter
	}
	byRouter[in.From] = routerDemand{in.Waiting, in.Running, now}
}

// demandFor returns the number of requests that wait for a model, and the
// number that wait or run.
func (p *Planner) demandFor(now time.Time, model string) (waiting, all int) {
	for router, t := range p.demand[model] {
		if now.Sub(t.at) > demandLifetime {
			delete(p.demand[model], router)
			continue
		}
		waiting += t.waiting
		all += t.waiting + t.running
	}
	return waiting, all
}

// round plans one round of orders. Engines with a fresh report are brought in
// line with their last order, with the text and with the demand, a few at a
// time.
func (p *Planner) round(now time.Time) {
	if !p.leaseClient.mayOrder(now) {
		p.dropOrders()
		return
	}
	for i := range p.models {
		name := p.models[i].Name
		_, all := p.demandFor(now, name)
		p.meanDemand[name] += meanWeight * (float64(all) - p.meanDemand[name])
	}
	plan := p.newPlan(now)
	plan.restateOrders()
	plan.updateModels()
	plan.addMissingCopies()
	plan.followDemand()
}

// dropOrders discards the orders of a lease that has ended and cancels their
// withdrawals.
func (p *Planner) dropOrders() {
	for i := range p.engines {
		id := p.engines[i].ID
		if o := p.lastOrders[id]; o != nil && !o.confirmed {
			p.outputs = append(p.outputs, Withdraw{Engine: id})
		}
	}
	p.lastOrders = map[view.EndpointID]*lastOrder{}
}

// announceOrSend orders an engine to hold the models. An order that unloads no
// model is sent at once. Otherwise the routers are asked to send no more work
// for the unloaded models, and the order is sent once the engine has drained.
func (p *Planner) announceOrSend(now time.Time, e *Engine, models []LoadedModel, reason string, fields ...string) {
	o := &lastOrder{models: models, at: now, reason: append([]string{"Reason", reason}, fields...)}
	p.lastOrders[e.ID] = o
	var unloaded []string
	for _, held := range e.Loaded {
		if !slices.ContainsFunc(models, func(m LoadedModel) bool { return sameModel(m, held) }) {
			unloaded = append(unloaded, held.Name)
		}
	}
	if len(unloaded) == 0 {
		p.sendOrder(now, e.ID, o)
		return
	}
	p.outputs = append(p.outputs, Withdraw{Engine: e.ID, Models: unloaded, Until: now.Add(withdrawalLifetime)})
	p.outputs = append(p.outputs, Decision{"ModelsWithdrawn", append([]string{
		"Pool", p.leaseClient.pool, "Endpoint", string(e.ID), "Models", strings.Join(unloaded, ","),
	}, o.reason...)})
}

// sendWhenDrained sends an announced order once the engine runs no request, or
// after maxDrainTime.
func (p *Planner) sendWhenDrained(now time.Time, e *Engine, o *lastOrder) {
	idle := e.Running == 0 && e.MeasuredAt.After(o.at.Add(withdrawalPropagation))
	if idle || now.Sub(o.at) >= maxDrainTime {
		p.sendOrder(now, e.ID, o)
	}
}

func (p *Planner) sendOrder(now time.Time, engine view.EndpointID, o *lastOrder) {
	o.sent, o.at = true, now
	notAfter := now.Add(orderLifetime)
	if p.leaseClient.mayOrderUntil.Before(notAfter) {
		notAfter = p.leaseClient.mayOrderUntil
	}
	p.outputs = append(p.outputs, Order{Engine: engine, Fencing: p.leaseClient.fencing, Models: o.models, NotAfter: notAfter})
	p.outputs = append(p.outputs, Decision{"ModelsPlaced", append([]string{
		"Pool", p.leaseClient.pool, "Endpoint", string(engine), "Models", formatModels(o.models),
		"Fencing", strconv.FormatUint(p.leaseClient.fencing, 10),
	}, o.reason...)})
}

func formatModels(models []LoadedModel) string {
	all := make([]string, len(models))
	for i := range models {
		all[i] = models[i].Name + "@" + models[i].Version
	}
	return strings.Join(all, ",")
}

func sameModel(a, b LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// sameModels reports whether two sets of models are equal, regardless of order.
func sameModels(a, b []LoadedModel) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.ContainsFunc(b, func(o LoadedModel) bool { return sameModel(m, o) }) {
			return false
		}
	}
	return true
}
