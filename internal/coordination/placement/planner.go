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
	// planEvery is the time between two rounds of a holder.
	planEvery = 2 * time.Second
	// reportLife is the age from which a report of an engine is not acted on.
	reportLife = 10 * time.Second
	// demandLife is how long the demand told by a router counts.
	demandLife = 20 * time.Second
	// restateEvery is the time after which an order that was not carried out
	// is given again. Until then the engine is taken to be loading.
	restateEvery = time.Minute
	// withdrawDelay is the time in which every router has heard of a
	// withdrawal.
	withdrawDelay = time.Second
	// maxDrain is how long an order waits for the engine's requests to end.
	maxDrain = 30 * time.Second
	// withdrawLife bounds a withdrawal, for the case that its planner is
	// lost before it can take it back.
	withdrawLife = maxDrain + reportLife
	// smoothing is the weight of a round's demand in the mean over rounds.
	smoothing = 0.2
	// maxLoading bounds the engines that load at once, so that the weight
	// store is never asked for more than it can give soon.
	maxLoading = 2
	// settle is the least time between two changes of one engine, not
	// counting what the text asks for.
	settle = 30 * time.Second
	// swapRatio is how much more demand per copy a model must have than the
	// one that makes room for it.
	swapRatio = 2.0
	// patience is the number of rounds in a row in which a swap must be due.
	patience = 3
)

// told is the demand that one router has told.
type told struct {
	waiting, running int
	at               time.Time
}

// order is the last order given to an engine.
type order struct {
	models []LoadedModel
	at     time.Time
	// given is set once the order has been sent; before that, the engine
	// gets no new work for what the order unloads.
	given  bool
	reason []string
	// done is set once the engine has reported what was ordered.
	done bool
}

// swap is a change that demand asks for: a copy of one model in place of one
// of another.
type swap struct{ in, out string }

// Planner decides for one pool. It is not safe for concurrent use.
type Planner struct {
	holder  *holder
	models  []Model
	engines []Engine
	demand  map[string]map[view.RouterID]told
	mean    map[string]float64
	ordered map[view.EndpointID]*order
	due     swap
	rounds  int
	planAt  time.Time
	wakeAt  time.Time
	out     []Output
}

// New returns the planner of a pool at one incarnation of a router.
func New(pool string, self lease.Holder) *Planner {
	return &Planner{
		holder: newHolder(pool, self), demand: map[string]map[view.RouterID]told{},
		mean: map[string]float64{}, ordered: map[view.EndpointID]*order{},
	}
}

// Step takes one input at the given instant and returns what is to be done,
// in order. The returned slice is valid until the next Step.
func (p *Planner) Step(now time.Time, in Input) []Output {
	p.out = p.out[:0]
	h := p.holder
	switch in := in.(type) {
	case Ownership:
		h.owned = in.Owned
	case Configured:
		p.models = in.Models
	case Demand:
		p.tell(now, in)
	case EngineReports:
		p.engines = in.Engines
		p.round(now)
	case Records:
		p.out = append(p.out, h.records(now, in)...)
	case OffsetTrimmed:
		h.gone(now, in.Oldest)
	case ReadFailed:
		h.reading = false
		h.readAt = now.Add(readRetry)
	case AppendEnded:
		h.appending = false
	case Alarm:
		p.wakeAt = time.Time{}
	}
	p.out = append(p.out, h.proceed(now)...)
	if h.holds(now) && !now.Before(p.planAt) {
		p.planAt = now.Add(planEvery)
		p.out = append(p.out, RequestReports{})
	}
	p.wake(now)
	return p.out
}

// Holds reports whether orders may be given now.
func (p *Planner) MayOrder(now time.Time) bool { return p.holder.holds(now) }

func (p *Planner) wake(now time.Time) {
	at := p.holder.nextAt(now)
	if p.holder.holds(now) && p.planAt.After(now) && (at.IsZero() || p.planAt.Before(at)) {
		at = p.planAt
	}
	if !at.IsZero() && !at.Equal(p.wakeAt) {
		p.wakeAt = at
		p.out = append(p.out, Wake{at})
	}
}

func (p *Planner) tell(now time.Time, in Demand) {
	name, _, _ := strings.Cut(in.Model, ":")
	byRouter := p.demand[name]
	if byRouter == nil {
		byRouter = map[view.RouterID]told{}
		p.demand[name] = byRouter
	}
	byRouter[in.From] = told{in.Waiting, in.Running, now}
}

// load returns the requests that wait for a model, and those that wait or run.
func (p *Planner) load(now time.Time, model string) (waiting, all int) {
	for router, t := range p.demand[model] {
		if now.Sub(t.at) > demandLife {
			delete(p.demand[model], router)
			continue
		}
		waiting += t.waiting
		all += t.waiting + t.running
	}
	return waiting, all
}

// round gives the orders of one round. Every engine with a fresh report gets
// the order that it should have; changes are made a few at a time.
func (p *Planner) round(now time.Time) {
	if !p.holder.holds(now) {
		p.forget()
		return
	}
	for i := range p.models {
		name := p.models[i].Name
		_, all := p.load(now, name)
		p.mean[name] += smoothing * (float64(all) - p.mean[name])
	}
	plan := p.newPlan(now)
	plan.restate()
	plan.update()
	plan.replicate()
	plan.followDemand()
}

// forget drops the orders of a lease that has ended, and takes back the
// withdrawals that they needed.
func (p *Planner) forget() {
	for i := range p.engines {
		id := p.engines[i].ID
		if o := p.ordered[id]; o != nil && !o.done {
			p.out = append(p.out, Withdraw{Engine: id})
		}
	}
	p.ordered = map[view.EndpointID]*order{}
}

// give orders an engine to hold the models. An order that unloads something
// is announced to the routers first, and given once that work has ended.
func (p *Planner) give(now time.Time, e *Engine, models []LoadedModel, reason string, fields ...string) {
	o := &order{models: models, at: now, reason: append([]string{"Reason", reason}, fields...)}
	p.ordered[e.ID] = o
	var lost []string
	for _, held := range e.Loaded {
		if !slices.ContainsFunc(models, func(m LoadedModel) bool { return sameModel(m, held) }) {
			lost = append(lost, held.Name)
		}
	}
	if len(lost) == 0 {
		p.send(now, e.ID, o)
		return
	}
	p.out = append(p.out, Withdraw{Engine: e.ID, Models: lost, Until: now.Add(withdrawLife)})
	p.out = append(p.out, Decision{"ModelsWithdrawn", append([]string{
		"Pool", p.holder.pool, "Endpoint", string(e.ID), "Models", strings.Join(lost, ","),
	}, o.reason...)})
}

// drained gives an announced order once the engine runs nothing, or has had
// its time.
func (p *Planner) drained(now time.Time, e *Engine, o *order) {
	quiet := e.Running == 0 && e.MeasuredAt.After(o.at.Add(withdrawDelay))
	if quiet || now.Sub(o.at) >= maxDrain {
		p.send(now, e.ID, o)
	}
}

func (p *Planner) send(now time.Time, engine view.EndpointID, o *order) {
	o.given, o.at = true, now
	notAfter := now.Add(orderLife)
	if p.holder.mayOrderUntil.Before(notAfter) {
		notAfter = p.holder.mayOrderUntil
	}
	p.out = append(p.out, Order{Engine: engine, Fencing: p.holder.fencing, Models: o.models, NotAfter: notAfter})
	p.out = append(p.out, Decision{"ModelsPlaced", append([]string{
		"Pool", p.holder.pool, "Endpoint", string(engine), "Models", names(o.models),
		"Fencing", strconv.FormatUint(p.holder.fencing, 10),
	}, o.reason...)})
}

func names(models []LoadedModel) string {
	all := make([]string, len(models))
	for i := range models {
		all[i] = models[i].Name + "@" + models[i].Version
	}
	return strings.Join(all, ",")
}

func sameModel(a, b LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// sameModels compares without regard to order.
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
