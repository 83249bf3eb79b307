package dispatch

import (
	"math/rand/v2"
	"sort"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

// announceTo is the greatest number of routers that one shortage is told to.
const announceTo = 8

// Table holds the dispatchers of one router.
type Dispatchers struct {
	random    *rand.Rand
	lastGrant schedule.GrantID
	view      *view.Snapshot
	known     map[view.EndpointID]*view.Endpoint
	endpoints map[view.EndpointID]*endpoint
	// order lists the endpoints by identity, for a fixed order of decisions.
	order []*endpoint
	pools map[string]*account.Counters
	out   []schedule.Send
}

// New returns a table without endpoints.
func New(random *rand.Rand) *Dispatchers {
	return &Dispatchers{
		random:    random,
		lastGrant: schedule.GrantID(random.Uint64()),
		view:      &view.Snapshot{},
		endpoints: map[view.EndpointID]*endpoint{},
		pools:     map[string]*account.Counters{},
	}
}

// Take returns the messages to send and forgets them. The slice is valid until
// the next call of any method.
func (t *Dispatchers) TakeMessages() []schedule.Send {
	out := t.out
	t.out = t.out[:0]
	return out
}

// Change takes a new view with the router that dispatches each endpoint: slots
// of routers that are gone are freed, and endpoints that moved here are taken
// over.
func (t *Dispatchers) Change(now time.Time, v *view.Snapshot, owners map[view.EndpointID]view.RouterID) {
	old := incarnations(t.view)
	t.view = v
	t.known = make(map[view.EndpointID]*view.Endpoint, len(v.Endpoints))
	for i := range v.Endpoints {
		t.known[v.Endpoints[i].ID] = &v.Endpoints[i]
	}
	for i := range v.Endpoints {
		known := &v.Endpoints[i]
		t.adopt(now, known, owners[known.ID] == v.Self)
	}
	live := incarnations(v)
	lost := func(r view.RouterID) bool {
		was, known := old[r]
		is, alive := live[r]
		return !alive || known && was != is
	}
	for id, e := range t.endpoints {
		if t.known[id] == nil {
			delete(t.endpoints, id)
			continue
		}
		e.releaseWhere(func(g *grant) bool { return lost(g.to) })
		e.board.drop(func(b *bid) bool { return lost(b.key.from) })
	}
	for router := range old {
		if lost(router) {
			for _, c := range t.pools {
				c.Forget(now, router)
			}
		}
	}
	t.sort()
}

func incarnations(v *view.Snapshot) map[view.RouterID]uint64 {
	m := make(map[view.RouterID]uint64, len(v.Routers))
	for i := range v.Routers {
		m[v.Routers[i].ID] = v.Routers[i].Incarnation
	}
	return m
}

// adopt sets whether the endpoint is dispatched here.
func (t *Dispatchers) adopt(now time.Time, known *view.Endpoint, owned bool) {
	e := t.endpoints[known.ID]
	switch {
	case owned && (e == nil || !e.owned):
		e = t.open(known)
		e.owned = true
		e.holdUntil = now.Add(takeoverHold)
	case !owned && e != nil && e.owned:
		delete(t.endpoints, known.ID)
	}
}

// open returns the endpoint's dispatcher. Bids may come before the view in
// which the endpoint is owned here; they are kept for it.
func (t *Dispatchers) open(known *view.Endpoint) *endpoint {
	e := t.endpoints[known.ID]
	if e == nil {
		e = newEndpoint(known.ID, known.Pool, t.counters(known.Pool))
		t.endpoints[known.ID] = e
		t.sort()
	}
	return e
}

func (t *Dispatchers) sort() {
	t.order = t.order[:0]
	for _, e := range t.endpoints {
		t.order = append(t.order, e)
	}
	sort.Slice(t.order, func(i, j int) bool { return t.order[i].id < t.order[j].id })
}

func (t *Dispatchers) counters(pool string) *account.Counters {
	c := t.pools[pool]
	if c == nil {
		c = account.NewCounters()
		t.pools[pool] = c
	}
	return c
}

// Lowest is the least counter lately served in the pool by these dispatchers;
// false if they served none.
func (t *Dispatchers) LowestServed(now time.Time, pool string) (float64, bool) {
	c := t.pools[pool]
	if c == nil {
		return 0, false
	}
	return c.Lowest(now)
}

// Bid takes a router's word about a line.
func (t *Dispatchers) Bid(now time.Time, from view.RouterID, m *schedule.Bid) {
	known := t.known[m.Endpoint]
	if known == nil {
		return
	}
	e := t.open(known)
	t.hear(now, e.pool, from, schedule.Counter{Organisation: m.Queue.Organisation, Tag: m.Tag, Rate: m.Rate})
	e.board.place(now, from, m)
	t.serve(now, e)
}

// Return takes a slot back.
func (t *Dispatchers) Return(now time.Time, from view.RouterID, m *schedule.Return) {
	e := t.endpoints[m.Endpoint]
	if e == nil {
		return
	}
	e.end(now, m)
	if m.Tag > 0 {
		t.hear(now, e.pool, from, schedule.Counter{Organisation: m.Queue.Organisation, Tag: m.Tag, Rate: m.Rate})
	}
	if b := e.board.bids[bidKey{from, m.Queue}]; b != nil {
		b.until = now.Add(bidLifetime)
	}
	t.serve(now, e)
}

// Hear takes a router's word about counters.
func (t *Dispatchers) UpdateCounters(now time.Time, from view.RouterID, m *schedule.Counters) {
	if t.pools[m.Pool] == nil {
		return
	}
	for i := range m.Counters {
		t.hear(now, m.Pool, from, m.Counters[i])
	}
}

func (t *Dispatchers) hear(now time.Time, pool string, from view.RouterID, word schedule.Counter) {
	c := t.counters(pool)
	before := c.Value(now, word.Organisation)
	c.Hear(now, from, word.Organisation, word.Tag, word.Rate)
	if c.Value(now, word.Organisation) >= before {
		return // boards find a risen counter by themselves
	}
	for _, e := range t.order {
		if e.pool == pool {
			e.board.lowered(now, word.Organisation)
		}
	}
}

// Renew takes a router's list of what it runs at an endpoint.
func (t *Dispatchers) Renew(now time.Time, from view.RouterID, m *schedule.Renewal) {
	known := t.known[m.Endpoint]
	if known == nil {
		return
	}
	e := t.open(known)
	e.renew(now, from, m)
	t.serve(now, e)
}

// Load takes what an endpoint says of itself.
func (t *Dispatchers) Load(now time.Time, report schedule.Load) {
	if e := t.endpoints[report.Endpoint]; e != nil {
		e.limit.load(now, report, len(e.grants))
		t.serve(now, e)
	}
}

// Tick frees what has expired and announces room. It returns the instant of
// the next tick; zero if there is nothing to wait for.
func (t *Dispatchers) Tick(now time.Time) time.Time {
	var next time.Time
	for _, e := range t.order {
		e.releaseWhere(func(g *grant) bool { return !now.Before(g.until) })
		e.board.drop(func(b *bid) bool { return !now.Before(b.until) })
		t.serve(now, e)
		if e.owned {
			next = earlier(next, e.nextTick(now))
		}
	}
	return next
}

func (e *endpoint) nextTick(now time.Time) time.Time {
	next := now.Add(grantLifetime / 4)
	if now.Before(e.holdUntil) {
		next = earlier(next, e.holdUntil)
	}
	if e.short && now.Before(e.announceAt) {
		next = earlier(next, e.announceAt)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Room is the number of free slots of an endpoint that is dispatched here and
// for which nobody bids.
func (t *Dispatchers) UnclaimedSlots(now time.Time, id view.EndpointID) int {
	e := t.endpoints[id]
	if e == nil || !e.owned || now.Before(e.holdUntil) || len(e.board.heap) > 0 {
		return 0
	}
	return e.limit.room(len(e.grants))
}

// serve gives out the free slots of the endpoint.
func (t *Dispatchers) serve(now time.Time, e *endpoint) {
	known := t.known[e.id]
	if !e.owned || now.Before(e.holdUntil) || known.Leaving || now.Before(known.EjectedUntil) {
		return
	}
	room := e.limit.room(len(e.grants))
	for ; room > 0; room-- {
		b := e.board.next(now, e.exclusive == 0)
		if b == nil {
			break
		}
		t.grant(now, e, b)
	}
	if room == 0 {
		e.short = false
		return
	}
	if e.announce(now) {
		t.announce(e, room)
	}
}

func (t *Dispatchers) grant(now time.Time, e *endpoint, b *bid) {
	t.lastGrant++
	id := t.lastGrant
	line := b.key.line
	until := now.Add(grantLifetime)
	before := e.board.counters.Serve(now, b.key.from, line.Organisation, b.amount)
	e.grants[id] = &grant{to: b.key.from, line: line, given: now, until: until}
	if line.Exclusive {
		e.exclusive = id
	}
	to := b.key.from
	e.board.served(now, b)
	t.out = append(t.out, schedule.Send{To: to, Message: &schedule.Grant{
		Grant: id, Endpoint: e.id, Queue: line, Deadline: until, Virtual: before,
	}})
}

// announce tells some routers of room without bids, this one first.
func (t *Dispatchers) announce(e *endpoint, room int) {
	m := &schedule.Shortage{Endpoint: e.id, Room: room}
	count := len(t.view.Routers)
	if count <= announceTo {
		for i := range t.view.Routers {
			t.out = append(t.out, schedule.Send{To: t.view.Routers[i].ID, Message: m})
		}
		return
	}
	t.out = append(t.out, schedule.Send{To: t.view.Self, Message: m})
	for _, i := range t.random.Perm(count)[:announceTo] {
		if id := t.view.Routers[i].ID; id != t.view.Self {
			t.out = append(t.out, schedule.Send{To: id, Message: m})
		}
	}
}
