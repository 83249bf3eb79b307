package harness

import (
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// request is one call of an organisation.
type request struct {
	id       schedule.RequestID
	caller   *caller
	router   *router
	engine   *engine
	cost     float64
	received float64
	urgent   bool
	arrived  time.Duration
	sentAt   time.Duration
	started  bool
	runs     bool
	gone     bool
}

// caller is one organisation's clients.
type caller struct {
	Organisation
	fleet   *Fleet
	index   int
	random  *rand.Rand
	next    int
	waiting int
}

func newCaller(f *Fleet, index int) *caller {
	o := f.Settings.Organisations[index]
	c := &caller{
		Organisation: o, fleet: f, index: index,
		random: rand.New(rand.NewPCG(f.Settings.Seed, uint64(1000+index))),
	}
	f.after(time.Duration(c.random.Int64N(int64(100*time.Millisecond))), c.fill)
	if o.Every > 0 {
		f.after(o.Every, c.arriveUrgent)
	}
	return c
}

// fill keeps the backlog at its number.
func (c *caller) fill() {
	for c.waiting < c.Backlog {
		c.arrive(false)
	}
}

func (c *caller) arriveUrgent() {
	c.arrive(true)
	gap := time.Duration(c.random.ExpFloat64() * float64(c.Every))
	c.fleet.after(gap, c.arriveUrgent)
}

func (c *caller) arrive(urgent bool) {
	f := c.fleet
	f.lastID++
	r := &request{
		id: f.lastID, caller: c, router: c.pick(), urgent: urgent, arrived: f.now,
		cost: c.Least + c.random.Float64()*(c.Most-c.Least),
	}
	f.requests[r.id] = r
	c.waiting++
	in := schedule.Request{
		ID: r.id, Organisation: c.Name, Pool: f.Settings.Endpoints[0].Pool, MayWait: true,
		Estimate: (c.Least + c.Most) / 2,
	}
	if urgent {
		in.Urgency = c.Urgent
	}
	f.step(r.router, schedule.Arrival{Request: in})
}

// pick is the organisation's next router that is up.
func (c *caller) pick() *router {
	for range c.Routers {
		c.next++
		r := c.fleet.routers[c.Routers[c.next%len(c.Routers)]]
		if !r.down {
			return r
		}
	}
	for _, r := range c.fleet.routers {
		if !r.down {
			return r
		}
	}
	return c.fleet.routers[0]
}

// begin carries out a Start.
func (f *Fleet) begin(r *router, out schedule.Start) {
	q := f.requests[out.ID]
	if q == nil || q.started || q.router != r {
		f.fault("request %d started twice or unknown at %s", out.ID, r.id)
		return
	}
	q.started = true
	q.caller.waiting--
	f.measure.waited(f, q)
	for _, e := range f.engines {
		if e.id == out.Endpoint {
			if e.leaving {
				f.fault("request %d started at leaving %s", out.ID, e.id)
			}
			e.take(q)
		}
	}
	f.after(0, q.caller.fill)
}

// refused carries out a Refusal.
func (f *Fleet) refused(r *router, out schedule.Refusal) {
	q := f.requests[out.ID]
	if q == nil || q.started || q.router != r {
		f.fault("request %d refused after its end at %s", out.ID, r.id)
		return
	}
	delete(f.requests, out.ID)
	q.caller.waiting--
	f.measure.refusals++
	f.after(time.Second, q.caller.fill)
}

// abandon ends every request of a router that is gone.
func (f *Fleet) abandon(r *router) {
	for id := schedule.RequestID(1); id <= f.lastID; id++ {
		q := f.requests[id]
		if q == nil || q.router != r {
			continue
		}
		delete(f.requests, id)
		if q.started {
			q.engine.leave(q)
		} else {
			q.caller.waiting--
		}
		f.after(time.Millisecond, q.caller.fill)
	}
}
