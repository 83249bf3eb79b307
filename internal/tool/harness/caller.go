package harness

import (
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// request is one request of an organisation.
type request struct {
	id         schedule.RequestID
	caller     *caller
	router     *router
	engine     *engine
	cost       float64
	served     float64
	additional bool // arrived at ArrivalInterval, not as part of the backlog
	arrivedAt  time.Duration
	sentAt     time.Duration
	started    bool
	running    bool
	ended      bool
}

// caller simulates the callers of one organisation.
type caller struct {
	Organisation
	fleet   *Fleet
	index   int
	random  *rand.Rand
	next    int // the last chosen router is Routers[next%len(Routers)]
	waiting int // requests that have arrived and have not been started
}

func newCaller(f *Fleet, index int) *caller {
	o := f.Settings.Organisations[index]
	c := &caller{
		Organisation: o, fleet: f, index: index,
		random: rand.New(rand.NewPCG(f.Settings.Seed, uint64(1000+index))),
	}
	f.after(time.Duration(c.random.Int64N(int64(100*time.Millisecond))), c.fillBacklog)
	if o.ArrivalInterval > 0 {
		f.after(o.ArrivalInterval, c.arriveAdditional)
	}
	return c
}

// fillBacklog sends requests until Backlog requests wait.
func (c *caller) fillBacklog() {
	for c.waiting < c.Backlog {
		c.arrive(false)
	}
}

func (c *caller) arriveAdditional() {
	c.arrive(true)
	gap := time.Duration(c.random.ExpFloat64() * float64(c.ArrivalInterval))
	c.fleet.after(gap, c.arriveAdditional)
}

func (c *caller) arrive(additional bool) {
	f := c.fleet
	f.lastID++
	r := &request{
		id: f.lastID, caller: c, router: c.nextRouter(), additional: additional, arrivedAt: f.now,
		cost: c.MinCost + c.random.Float64()*(c.MaxCost-c.MinCost),
	}
	f.requests[r.id] = r
	c.waiting++
	in := schedule.Request{
		ID: r.id, Organisation: c.Name, Pool: f.Settings.Endpoints[0].Pool, MayWait: true,
		Estimate: (c.MinCost + c.MaxCost) / 2,
	}
	if additional {
		in.Urgency = c.Urgency
	}
	f.step(r.router, schedule.Arrival{Request: in})
}

// nextRouter returns the organisation's next router that is up, in turn. If
// all of them are down, it returns any router that is up.
func (c *caller) nextRouter() *router {
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

// startRequest sends a request to the endpoint that the scheduler chose.
func (f *Fleet) startRequest(r *router, out schedule.Start) {
	q := f.requests[out.ID]
	if q == nil || q.started || q.router != r {
		f.addViolation("request %d started at router %s, but it is unknown, already started or at another router", out.ID, r.id)
		return
	}
	q.started = true
	q.caller.waiting--
	f.metrics.recordStart(f, q)
	for _, e := range f.engines {
		if e.id == out.Endpoint {
			if e.leaving {
				f.addViolation("request %d started at endpoint %s, which is leaving", out.ID, e.id)
			}
			e.admit(q)
		}
	}
	f.after(0, q.caller.fillBacklog)
}

// handleRefusal removes a request that the scheduler refused. The caller fills its
// backlog again one second later.
func (f *Fleet) handleRefusal(r *router, out schedule.Refusal) {
	q := f.requests[out.ID]
	if q == nil || q.started || q.router != r {
		f.addViolation("request %d refused by router %s, but it is unknown, already started or at another router", out.ID, r.id)
		return
	}
	delete(f.requests, out.ID)
	q.caller.waiting--
	f.metrics.refusals++
	f.after(time.Second, q.caller.fillBacklog)
}

// dropRequests ends every request of a router that has stopped. It visits the
// requests in the order of their IDs, because the random order of a map would
// give different figures for the same seed.
func (f *Fleet) dropRequests(r *router) {
	for id := schedule.RequestID(1); id <= f.lastID; id++ {
		q := f.requests[id]
		if q == nil || q.router != r {
			continue
		}
		delete(f.requests, id)
		if q.started {
			q.engine.release(q)
		} else {
			q.caller.waiting--
		}
		f.after(time.Millisecond, q.caller.fillBacklog)
	}
}
