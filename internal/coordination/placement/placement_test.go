package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/lease"
	"hyssopreach/internal/state/view"
)

// fakeEngine follows orders at once, except that loading takes loadTime.
type fakeEngine struct {
	Engine
	fencing uint64
	loading []LoadedModel
	readyAt time.Time
}

const loadTime = 5 * time.Second

// apply carries out an order; false if the engine refuses it.
func (e *fakeEngine) apply(now time.Time, o Order) bool {
	if e.ChecksFencing && o.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	var alreadyLoaded []LoadedModel
	for _, m := range o.Models {
		if slices.ContainsFunc(e.Loaded, func(l LoadedModel) bool { return sameModel(l, m) }) {
			alreadyLoaded = append(alreadyLoaded, m)
		}
	}
	e.Loaded, e.loading, e.readyAt = alreadyLoaded, o.Models, now.Add(loadTime)
	return true
}

// pool simulates a pool of engines under several planners with a fake log. Time
// advances in ticks.
type pool struct {
	now      time.Time
	log      []Record
	logDown  bool
	planners []*Planner
	paused   map[int]time.Time
	engines  []*fakeEngine
	models   []Model
	waiting  map[string]int
	inbox    [][]Input
	// delayedOrders holds the orders of paused planners, which arrive after the
	// pause.
	delayedOrders     map[int][]Order
	modelsWithoutCopy []string
	refused           int
	orders            int
}

const tick = 100 * time.Millisecond

func newPool(planners int, engines ...*fakeEngine) *pool {
	p := &pool{
		now: time.Unix(1e6, 0), paused: map[int]time.Time{}, engines: engines,
		waiting: map[string]int{}, delayedOrders: map[int][]Order{}, inbox: make([][]Input, planners),
	}
	for i := range planners {
		p.planners = append(p.planners, New("p", lease.Holder{Router: fmt.Sprint("r", i), Incarnation: 1}))
	}
	return p
}

func (p *pool) setOwned(i int, owned bool) { p.inbox[i] = append(p.inbox[i], Ownership{owned}) }

func (p *pool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		for _, e := range p.engines {
			if e.loading != nil && !p.now.Before(e.readyAt) {
				e.Loaded, e.loading = e.loading, nil
			}
		}
		for i := range p.planners {
			if p.now.Before(p.paused[i]) {
				continue
			}
			for _, o := range p.delayedOrders[i] {
				p.deliver(o)
			}
			p.delayedOrders[i] = nil
			p.tick(i)
		}
		for name, n := range p.waiting {
			if n > 0 && !slices.ContainsFunc(p.engines, func(e *fakeEngine) bool { return hasModel(&e.Engine, name) }) {
				p.modelsWithoutCopy = append(p.modelsWithoutCopy, name)
			}
		}
	}
}

func (p *pool) tick(i int) {
	in := slices.Concat(p.inbox[i], []Input{Configured{p.models}, Alarm{}})
	p.inbox[i] = nil
	for _, name := range slices.Sorted(keys(p.waiting)) {
		in = append(in, Demand{From: "r0", Model: name, Waiting: p.waiting[name]})
	}
	for len(in) > 0 {
		next := in[0]
		in = in[1:]
		for _, o := range append([]Output(nil), p.planners[i].Step(p.now, next)...) {
			in = append(in, p.perform(i, o)...)
		}
	}
}

func (p *pool) perform(i int, o Output) []Input {
	switch o := o.(type) {
	case Append:
		if !p.logDown {
			p.log = append(p.log, Record{Offset: uint64(len(p.log)), Appended: p.now, Record: o.Record})
		}
		p.inbox[i] = append(p.inbox[i], AppendEnded{})
	case Read:
		if p.logDown {
			p.inbox[i] = append(p.inbox[i], ReadFailed{})
			return nil
		}
		p.inbox[i] = append(p.inbox[i], Records{slices.Clone(p.log[o.From:]), uint64(len(p.log))})
	case RequestReports:
		var all []Engine
		for _, e := range p.engines {
			one := e.Engine
			one.Loaded, one.MeasuredAt = slices.Clone(e.Loaded), p.now
			all = append(all, one)
		}
		return []Input{EngineReports{all}}
	case Order:
		if p.now.Before(p.paused[i]) {
			p.delayedOrders[i] = append(p.delayedOrders[i], o)
			return nil
		}
		p.deliver(o)
	}
	return nil
}

func (p *pool) deliver(o Order) {
	p.orders++
	for _, e := range p.engines {
		if e.ID == o.Engine && !e.apply(p.now, o) {
			p.refused++
		}
	}
}

func keys(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func engineOf(i, slots int, models ...string) *fakeEngine {
	e := &fakeEngine{Engine: Engine{ID: view.EndpointID(fmt.Sprint("e", i)), Slots: slots}}
	for _, m := range models {
		e.Loaded = append(e.Loaded, LoadedModel{Name: m, Version: "1"})
	}
	return e
}

func modelsOf(names ...string) []Model {
	var all []Model
	for _, n := range names {
		all = append(all, Model{Name: n, Version: "1", MinReplicas: 1})
	}
	return all
}

func (p *pool) count(model, version string) int {
	n := 0
	for _, e := range p.engines {
		if slices.ContainsFunc(e.Loaded, func(m LoadedModel) bool { return m.Name == model && m.Version == version }) {
			n++
		}
	}
	return n
}

func TestCopiesFollowDemandAndKeepOneCopyEach(t *testing.T) {
	is := is.New(t)
	p := newPool(1, engineOf(0, 1, "a"), engineOf(1, 1, "a"), engineOf(2, 1, "a"), engineOf(3, 1, "b"))
	p.models = modelsOf("a", "b")
	p.setOwned(0, true)
	p.waiting = map[string]int{"a": 2, "b": 60}
	p.run(3 * time.Minute)
	is.Equal(p.count("b", "1"), 3)
	is.Equal(p.count("a", "1"), 1)
	before := p.orders
	for i := range 60 { // small changes of demand cause no orders
		p.waiting["a"], p.waiting["b"] = 2+i%2, 60-10*(i%3)
		p.run(3 * time.Second)
	}
	is.Equal(p.orders, before)
	is.Equal(len(p.modelsWithoutCopy), 0)
}

func TestMissingModelIsLoadedAndFreeSlotsAreUsed(t *testing.T) {
	is := is.New(t)
	p := newPool(1, engineOf(0, 2), engineOf(1, 2))
	p.models = modelsOf("a", "b")
	p.setOwned(0, true)
	p.run(time.Minute)
	is.Equal(p.count("a", "1"), 1) // the minimum of the text, as there is no demand
	is.Equal(p.count("b", "1"), 1)
	p.waiting["a"] = 20
	p.run(time.Minute)
	is.Equal(p.count("a", "1"), 2)
}

func TestNewVersionRollsOutOneEngineAtATime(t *testing.T) {
	is := is.New(t)
	p := newPool(1, engineOf(0, 1, "a"), engineOf(1, 1, "a"), engineOf(2, 1, "a"))
	p.models = modelsOf("a")
	p.models[0].Version = "2"
	p.setOwned(0, true)
	p.waiting["a"] = 5
	for range 60 {
		p.run(time.Second)
		is.True(p.count("a", "1")+p.count("a", "2") >= 2)
	}
	is.Equal(p.count("a", "2"), 3)
}

func TestLastCopyWithWorkIsKept(t *testing.T) {
	is := is.New(t)
	p := newPool(1, engineOf(0, 1, "a"))
	p.models = modelsOf("a", "b")
	p.models[0].Version = "2"
	p.setOwned(0, true)
	p.waiting = map[string]int{"a": 1, "b": 50}
	p.run(2 * time.Minute)
	is.True(!slices.Contains(p.modelsWithoutCopy, "a"))
	is.Equal(p.count("a", "1"), 1)
	p.waiting["a"] = 0
	p.run(2 * time.Minute)
	is.Equal(p.count("a", "2"), 1)
}

func TestSecondPlannerWaitsForTheLease(t *testing.T) {
	is := is.New(t)
	p := newPool(2, engineOf(0, 1, "a"))
	p.setOwned(0, true)
	p.run(5 * time.Second)
	is.True(p.planners[0].MayOrder(p.now))
	p.setOwned(1, true) // both routers believe that they own the pool
	for range 300 {
		p.run(tick)
		is.True(!p.planners[1].MayOrder(p.now))
	}
	p.setOwned(0, false) // releases the lease
	p.run(time.Second)
	is.True(!p.planners[0].MayOrder(p.now))
	p.run(orderLifetime + renewInterval + time.Second)
	is.True(p.planners[1].MayOrder(p.now))
}

func TestLogOutageEndsTheLeaseAndStopsPlacement(t *testing.T) {
	is := is.New(t)
	p := newPool(2, engineOf(0, 1, "a"), engineOf(1, 1, "b"))
	p.models = modelsOf("a", "b")
	p.setOwned(0, true)
	p.setOwned(1, true)
	p.run(20 * time.Second)
	p.logDown = true
	p.run(lease.Lifetime)
	is.True(!p.planners[0].MayOrder(p.now))
	is.True(!p.planners[1].MayOrder(p.now))
	before := p.orders
	p.waiting = map[string]int{"a": 1, "b": 50}
	p.run(time.Minute)
	is.Equal(p.orders, before)
	p.logDown = false
	p.run(20 * time.Second)
	is.True(p.planners[0].MayOrder(p.now) != p.planners[1].MayOrder(p.now))
}

// TestLateOrderOfPausedPlannerIsRefusedOrCorrected guards against the lasting
// effect of an old order: a planner is paused between deciding on an order and
// sending it, until another planner holds the lease.
func TestLateOrderOfPausedPlannerIsRefusedOrCorrected(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		p := newPool(2, engineOf(0, 1, "a"), engineOf(1, 1, "b"))
		for _, e := range p.engines {
			e.ChecksFencing = checks
		}
		p.models = modelsOf("a", "b")
		p.setOwned(0, true)
		p.run(10 * time.Second)
		old := p.planners[0].leaseClient.fencing
		p.paused[0] = p.now.Add(40 * time.Second)
		p.delayedOrders[0] = []Order{{Engine: "e0", Fencing: old, Models: []LoadedModel{{Name: "x", Version: "1"}}}}
		p.setOwned(1, true)
		p.run(30 * time.Second)
		is.True(p.planners[1].MayOrder(p.now))
		p.models[0].Version = "2" // requires an order of the new holder
		p.run(9 * time.Second)
		is.Equal(p.count("a", "2"), 1)
		p.run(2 * time.Second) // the late order arrives
		is.Equal(p.refused > 0, checks)
		is.True(!p.planners[0].MayOrder(p.now))
		p.run(15 * time.Second)
		is.Equal(p.count("a", "2"), 1) // refused, or corrected in the next round
	}
}

// TestAtMostOnePlannerHoldsTheLease guards against two simultaneous lease
// holders, with random pauses of planners and outages of the log.
func TestAtMostOnePlannerHoldsTheLease(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := newPool(3, engineOf(0, 1, "a"))
		for i := range p.planners {
			p.setOwned(i, true)
		}
		for range 400 {
			p.run(5 * tick)
			switch random.IntN(20) {
			case 0:
				p.paused[random.IntN(3)] = p.now.Add(time.Duration(random.IntN(20)) * time.Second)
			case 1:
				p.logDown = !p.logDown
			case 2:
				p.setOwned(random.IntN(3), random.IntN(3) > 0)
			}
			holding := 0
			for i := range p.planners {
				if p.planners[i].MayOrder(p.now) {
					holding++
				}
			}
			is.True(holding <= 1)
		}
	}
}
