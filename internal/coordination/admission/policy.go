package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// scanInterval is the time between two looks at what waits, in which the
	// endpoints' queues have shortened.
	scanInterval = 20 * time.Millisecond
	// scanPause is the least time between two looks at a line of several
	// requests, each of which costs a look at every endpoint.
	scanPause = 4 * time.Millisecond
	// idleInterval is the time between two looks while nothing waits.
	idleInterval = 100 * time.Millisecond
	// expireInterval is the time between two looks for peers that have been
	// silent, a part of the time for which their words count.
	expireInterval = peerLife / 3
	// MaxLine bounds the requests of one organisation that wait for a pool, so
	// that refusing a flood costs little.
	MaxQueuedRequests = 12
	// lineFull is the detail of such a refusal.
	lineFull = "line=full"
)

// Options are what a Policy is made with.
type Options struct {
	// Source is where random numbers come from.
	Source rand.Source
}

// Policy is the scheduler of one router; see the package comment.
type Policy struct {
	random *rand.Rand
	view   *view.Snapshot
	// domain is this router's FailureDomain.
	domain    string
	pools     map[string]*pool
	endpoints map[view.EndpointID]*endpoint
	running   map[schedule.RequestID]*running
	usage     *usage
	pulseAt   time.Time
	silentAt  time.Time
	expireAt  time.Time
	out       []schedule.Output
}

// pool is the endpoints that can stand in for each other, and what waits for
// them.
type pool struct {
	name            string
	tokensPerSecond float64
	tokensPerEvent  float64
	endpoints       []*endpoint
	lines           lines
	// scannedAt is when what waits was last looked at, and changed is set if
	// something has happened since that may let it start.
	scannedAt time.Time
	changed   bool
}

// nextScan is when what waits should be looked at again.
func (l *pool) nextScan() time.Time {
	if l.changed {
		return l.scannedAt.Add(scanPause)
	}
	return l.scannedAt.Add(scanInterval)
}

// running is a request that has been started.
type running struct {
	request  schedule.Request
	endpoint *endpoint
	work     work
	// ahead is the work that the endpoint was expected to do before the
	// answer began, this request's own included, in tokens.
	ahead int64
	begun bool
}

// New returns a policy that knows no endpoints until the first Change.
func New(o Options) *Policy {
	return &Policy{
		random: rand.New(o.Source), view: &view.Snapshot{}, pools: map[string]*pool{},
		endpoints: map[view.EndpointID]*endpoint{}, running: map[schedule.RequestID]*running{}, usage: newUsage(),
	}
}

// Step takes one input; see schedule.Scheduler.
func (p *Policy) Step(now time.Time, in schedule.Input) []schedule.Output {
	p.out = p.out[:0]
	switch in := in.(type) {
	case schedule.Arrival:
		p.arrive(now, &in.Request)
	case schedule.Departure:
		p.depart(in.ID)
	case schedule.Progress:
		p.progress(now, in)
	case schedule.Completion:
		p.complete(now, in)
	case schedule.Delivery:
		if m, ok := in.Message.(*schedule.Pulse); ok {
			p.receive(now, in.From, m)
		}
	case schedule.Change:
		p.change(now, in.View)
	case schedule.Alarm:
		for _, l := range p.pools {
			p.scan(now, l)
		}
	case schedule.Load:
	}
	p.watch(now)
	p.sendPulse(now)
	p.wake(now)
	return p.out
}

// wake asks for the next look at what waits.
func (p *Policy) wake(now time.Time) {
	next := now.Add(idleInterval)
	for _, l := range p.pools {
		if at := l.nextScan(); l.lines.len() > 0 && at.Before(next) {
			next = at
		}
	}
	p.emit(schedule.Wake{At: next})
}

func (p *Policy) emit(o schedule.Output) { p.out = append(p.out, o) }

func (p *Policy) arrive(now time.Time, r *schedule.Request) {
	l := p.pools[r.Pool]
	if l == nil || len(l.endpoints) == 0 {
		p.emit(schedule.Refusal{ID: r.ID, Reason: schedule.RefusalNoEndpoint, RetryAt: now.Add(noEndpointPause)})
		return
	}
	w := &waiter{request: *r, arrived: now}
	if r.Prompt != nil {
		w.cost = float64(r.Prompt.InputTokens + outputWeight*r.Prompt.OutputTokens)
		w.key = sharedKey(r.Prompt)
	}
	p.usage.ask(now, r.Organisation, w.cost)
	if l.lines.of(r.Organisation) >= MaxQueuedRequests {
		// Those before it would be refused first.
		p.emit(schedule.Refusal{ID: r.ID, Reason: schedule.RefusalOverload, RetryAt: RetryWhenFull(now, p.random.Float64()), Detail: lineFull})
		return
	}
	l.lines.add(w)
	p.scan(now, l)
}

func (p *Policy) depart(id schedule.RequestID) {
	for _, l := range p.pools {
		if l.lines.remove(id) {
			return
		}
	}
}

func (p *Policy) progress(now time.Time, in schedule.Progress) {
	r := p.running[in.ID]
	if r == nil {
		return
	}
	e := r.endpoint
	e.heardAt = now
	if in.EventInterval > 0 {
		e.pace.add(float64(in.EventInterval))
	}
	if in.LongestGap > 0 {
		e.pause.add(float64(in.LongestGap))
	}
	if r.begun {
		return
	}
	r.begun = true
	e.own.backlog -= r.work.unread
	e.learn(r, in.FirstToken)
	p.scan(now, p.pools[e.Pool])
}

func (p *Policy) complete(now time.Time, in schedule.Completion) {
	r := p.running[in.ID]
	if r == nil {
		return
	}
	delete(p.running, in.ID)
	e := r.endpoint
	e.release(r)
	if in.Result == schedule.ResultNotSent || in.Result == schedule.ResultRejected {
		p.usage.giveBack(now, r.request.Organisation, r.cost())
		e.parts.forget(r.request.Prompt)
	}
	if until := e.standing.note(now, in.Result); !until.IsZero() {
		p.emit(schedule.Decision{Event: "EndpointAvoided", Fields: []string{
			"Endpoint", string(e.ID), "Result", in.Result.String(), "Until", until.Format(time.RFC3339Nano),
		}})
	}
	p.scan(now, p.pools[e.Pool])
}

// cost is what the request counts against its organisation's share.
func (r *running) cost() float64 {
	if r.request.Prompt == nil {
		return 0
	}
	return float64(r.request.Prompt.InputTokens + outputWeight*r.request.Prompt.OutputTokens)
}

// change takes a new view. What is known of an endpoint stays as long as the
// same start of it is listed.
func (p *Policy) change(now time.Time, v *view.Snapshot) {
	p.view, p.domain = v, ""
	routers := make(map[view.RouterID]bool, len(v.Routers))
	for i := range v.Routers {
		routers[v.Routers[i].ID] = true
		if v.Routers[i].ID == v.Self {
			p.domain = v.Routers[i].FailureDomain
		}
	}
	p.usage.keep(routers)
	before := p.endpoints
	p.endpoints = make(map[view.EndpointID]*endpoint, len(v.Endpoints))
	for _, l := range p.pools {
		l.endpoints = nil
	}
	for i := range v.Endpoints {
		listed := &v.Endpoints[i]
		l := p.pools[listed.Pool]
		if l == nil {
			l = &pool{name: listed.Pool, lines: newLines()}
			p.pools[listed.Pool] = l
		}
		e := before[listed.ID]
		if e == nil {
			e = newEndpoint(now)
		}
		e.Endpoint = *listed
		p.endpoints[listed.ID] = e
		l.endpoints = append(l.endpoints, e)
	}
	for name, l := range p.pools {
		slices.SortFunc(l.endpoints, func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
		l.tokensPerSecond, l.tokensPerEvent = v.Pools[name].TokensPerSecond, v.Pools[name].TokensPerEvent
		for _, e := range l.endpoints {
			e.expect(l.tokensPerSecond / float64(len(l.endpoints)))
			e.keep(routers)
			e.hash = xxhash.Sum64String(string(e.ID))
		}
		if len(l.endpoints) == 0 && l.lines.len() == 0 {
			delete(p.pools, name)
			continue
		}
		p.scan(now, l)
	}
}

// watch notices endpoints from which nothing comes although requests run
// there.
func (p *Policy) watch(now time.Time) {
	if now.Before(p.silentAt) {
		return
	}
	p.silentAt = now.Add(idleInterval)
	expire := !now.Before(p.expireAt)
	if expire {
		p.expireAt = now.Add(expireInterval)
	}
	for _, l := range p.pools {
		for _, e := range l.endpoints {
			if expire {
				e.expire(now)
			}
			if e.silent(now) {
				e.standing.avoidUntil = now.Add(silentPause)
				p.emit(schedule.Decision{Event: "EndpointSilent", Fields: []string{
					"Endpoint", string(e.ID), "Silence", now.Sub(e.heardAt).String(),
				}})
			}
		}
		p.scan(now, l)
	}
}
