package dispatch

import (
	"math/rand/v2"
	"sort"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

// maxAnnounceRouters is the number of randomly chosen routers that receive one
// announcement of free slots. This router receives every announcement, whether
// or not it is chosen.
const maxAnnounceRouters = 8

// Dispatchers holds the dispatchers of one router.
type Dispatchers struct {
	random       *rand.Rand
	lastGrant    schedule.GrantID
	view         *view.Snapshot
	endpointByID map[view.EndpointID]*view.Endpoint
	dispatchers  map[view.EndpointID]*dispatcher
	// sortedDispatchers is ordered by endpoint identity, so that decisions do not
	// depend on map order.
	sortedDispatchers []*dispatcher
	poolCounters      map[string]*account.Counters
	messages          []schedule.Send
}

// New returns a Dispatchers without endpoints.
func New(random *rand.Rand) *Dispatchers {
	return &Dispatchers{
		random:       random,
		lastGrant:    schedule.GrantID(random.Uint64()),
		view:         &view.Snapshot{},
		dispatchers:  map[view.EndpointID]*dispatcher{},
		poolCounters: map[string]*account.Counters{},
	}
}

// TakeMessages returns the pending messages and clears them. The slice is valid
// until the next call of any method.
func (t *Dispatchers) TakeMessages() []schedule.Send {
	out := t.messages
	t.messages = t.messages[:0]
	return out
}

// Change installs a new view and, for each endpoint, the router that dispatches
// it. It frees the slots of routers that are gone and takes over the endpoints
// that are now dispatched here.
func (t *Dispatchers) Change(now time.Time, v *view.Snapshot, owners map[view.EndpointID]view.RouterID) {
	old := incarnations(t.view)
	t.view = v
	t.endpointByID = make(map[view.EndpointID]*view.Endpoint, len(v.Endpoints))
	for i := range v.Endpoints {
		t.endpointByID[v.Endpoints[i].ID] = &v.Endpoints[i]
	}
	for i := range v.Endpoints {
		endpoint := &v.Endpoints[i]
		t.setOwned(now, endpoint, owners[endpoint.ID] == v.Self)
	}
	live := incarnations(v)
	lost := func(r view.RouterID) bool {
		previous, known := old[r]
		current, alive := live[r]
		return !alive || known && previous != current
	}
	for id, e := range t.dispatchers {
		if t.endpointByID[id] == nil {
			delete(t.dispatchers, id)
			continue
		}
		e.releaseWhere(func(g *grant) bool { return lost(g.router) })
		e.bids.removeWhere(func(b *bid) bool { return lost(b.key.from) })
	}
	for router := range old {
		if lost(router) {
			for _, c := range t.poolCounters {
				c.RemoveRouter(now, router)
			}
		}
	}
	t.sortDispatchers()
}

func incarnations(v *view.Snapshot) map[view.RouterID]uint64 {
	m := make(map[view.RouterID]uint64, len(v.Routers))
	for i := range v.Routers {
		m[v.Routers[i].ID] = v.Routers[i].Incarnation
	}
	return m
}

// setOwned sets whether the endpoint is dispatched here.
func (t *Dispatchers) setOwned(now time.Time, endpoint *view.Endpoint, owned bool) {
	e := t.dispatchers[endpoint.ID]
	switch {
	case owned && (e == nil || !e.owned):
		e = t.dispatcherFor(endpoint)
		e.owned = true
		e.holdUntil = now.Add(takeoverHold)
	case !owned && e != nil && e.owned:
		delete(t.dispatchers, endpoint.ID)
	}
}

// dispatcherFor returns the endpoint's dispatcher, creating it if needed. Bids
// may arrive before the view that assigns the endpoint to this router; the
// dispatcher retains them.
func (t *Dispatchers) dispatcherFor(endpoint *view.Endpoint) *dispatcher {
	e := t.dispatchers[endpoint.ID]
	if e == nil {
		e = newDispatcher(endpoint.ID, endpoint.Pool, t.counters(endpoint.Pool))
		t.dispatchers[endpoint.ID] = e
		t.sortDispatchers()
	}
	return e
}

func (t *Dispatchers) sortDispatchers() {
	t.sortedDispatchers = t.sortedDispatchers[:0]
	for _, e := range t.dispatchers {
		t.sortedDispatchers = append(t.sortedDispatchers, e)
	}
	sort.Slice(t.sortedDispatchers, func(i, j int) bool { return t.sortedDispatchers[i].id < t.sortedDispatchers[j].id })
}

func (t *Dispatchers) counters(pool string) *account.Counters {
	c := t.poolCounters[pool]
	if c == nil {
		c = account.NewCounters()
		t.poolCounters[pool] = c
	}
	return c
}

// LowestServed is the lowest counter of an organisation at the time of a recent
// grant of these dispatchers in the pool; false if they gave no recent grant.
func (t *Dispatchers) LowestServed(now time.Time, pool string) (float64, bool) {
	c := t.poolCounters[pool]
	if c == nil {
		return 0, false
	}
	return c.LowestServed(now)
}

// Bid handles a router's bid for a queue.
func (t *Dispatchers) Bid(now time.Time, from view.RouterID, m *schedule.Bid) {
	endpoint := t.endpointByID[m.Endpoint]
	if endpoint == nil {
		return
	}
	e := t.dispatcherFor(endpoint)
	t.updateCounter(now, e.pool, from, schedule.Counter{Organisation: m.Queue.Organisation, Tag: m.Tag, Rate: m.Rate})
	e.bids.update(now, from, m)
	t.grantFreeSlots(now, e)
}

// Return handles the return of a grant and frees its slot.
func (t *Dispatchers) Return(now time.Time, from view.RouterID, m *schedule.Return) {
	e := t.dispatchers[m.Endpoint]
	if e == nil {
		return
	}
	e.end(now, m)
	if m.Tag > 0 { // zero if the sender had no request for the grant
		t.updateCounter(now, e.pool, from, schedule.Counter{Organisation: m.Queue.Organisation, Tag: m.Tag, Rate: m.Rate})
	}
	if b := e.bids.byKey[bidKey{from, m.Queue}]; b != nil {
		b.until = now.Add(bidLifetime)
	}
	t.grantFreeSlots(now, e)
}

// UpdateCounters handles a router's update of organisations' counters.
func (t *Dispatchers) UpdateCounters(now time.Time, from view.RouterID, m *schedule.Counters) {
	if t.poolCounters[m.Pool] == nil {
		return
	}
	for i := range m.Counters {
		t.updateCounter(now, m.Pool, from, m.Counters[i])
	}
}

func (t *Dispatchers) updateCounter(now time.Time, pool string, from view.RouterID, counter schedule.Counter) {
	c := t.counters(pool)
	before := c.Value(now, counter.Organisation)
	c.Update(now, from, counter.Organisation, counter.Tag, counter.Rate)
	if c.Value(now, counter.Organisation) >= before {
		return // endpointBids.next finds an increased counter by itself
	}
	for _, e := range t.sortedDispatchers {
		if e.pool == pool {
			e.bids.reorderLowered(now, counter.Organisation)
		}
	}
}

// Renew handles a router's list of its running requests at an endpoint.
func (t *Dispatchers) Renew(now time.Time, from view.RouterID, m *schedule.Renewal) {
	endpoint := t.endpointByID[m.Endpoint]
	if endpoint == nil {
		return
	}
	e := t.dispatcherFor(endpoint)
	e.renew(now, from, m)
	t.grantFreeSlots(now, e)
}

// Load handles an endpoint's report of its own load.
func (t *Dispatchers) Load(now time.Time, report schedule.Load) {
	if e := t.dispatchers[report.Endpoint]; e != nil {
		e.limit.observeLoad(now, report, len(e.grants))
		t.grantFreeSlots(now, e)
	}
}

// Tick removes expired grants and bids, grants free slots and announces those
// without bids. It returns the instant of the next tick; zero if no tick is
// needed.
func (t *Dispatchers) Tick(now time.Time) time.Time {
	var next time.Time
	for _, e := range t.sortedDispatchers {
		e.releaseWhere(func(g *grant) bool { return !now.Before(g.until) })
		e.bids.removeWhere(func(b *bid) bool { return !now.Before(b.until) })
		t.grantFreeSlots(now, e)
		if e.owned {
			next = earlier(next, e.nextTick(now))
		}
	}
	return next
}

func (e *dispatcher) nextTick(now time.Time) time.Time {
	next := now.Add(grantLifetime / 4)
	if now.Before(e.holdUntil) {
		next = earlier(next, e.holdUntil)
	}
	if e.hasUnusedSlots && now.Before(e.announceAt) {
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

// UnclaimedSlots is the number of free slots of an endpoint that is dispatched
// here; zero if bids wait for the endpoint.
func (t *Dispatchers) UnclaimedSlots(now time.Time, id view.EndpointID) int {
	e := t.dispatchers[id]
	if e == nil || !e.owned || now.Before(e.holdUntil) || len(e.bids.queues) > 0 {
		return 0
	}
	return e.limit.room(len(e.grants))
}

// grantFreeSlots grants the endpoint's free slots to the bids that wait, and
// announces the remaining slots if due.
func (t *Dispatchers) grantFreeSlots(now time.Time, e *dispatcher) {
	endpoint := t.endpointByID[e.id]
	if !e.owned || now.Before(e.holdUntil) || endpoint.Leaving || now.Before(endpoint.EjectedUntil) {
		return
	}
	room := e.limit.room(len(e.grants))
	for ; room > 0; room-- {
		b := e.bids.next(now, e.exclusive == 0)
		if b == nil {
			break
		}
		t.sendGrant(now, e, b)
	}
	if room == 0 {
		e.hasUnusedSlots = false
		return
	}
	if e.announcementDue(now) {
		t.announceShortage(e, room)
	}
}

func (t *Dispatchers) sendGrant(now time.Time, e *dispatcher, b *bid) {
	t.lastGrant++
	id := t.lastGrant
	queue := b.key.queue
	until := now.Add(grantLifetime)
	before := e.bids.counters.Charge(now, b.key.from, queue.Organisation, b.reserve)
	e.grants[id] = &grant{router: b.key.from, queue: queue, grantedAt: now, until: until}
	if queue.Exclusive {
		e.exclusive = id
	}
	to := b.key.from
	e.bids.recordGrant(now, b)
	t.messages = append(t.messages, schedule.Send{To: to, Message: &schedule.Grant{
		Grant: id, Endpoint: e.id, Queue: queue, Deadline: until, Virtual: before,
	}})
}

// announceShortage announces free slots without bids to a few routers, always
// including this one.
func (t *Dispatchers) announceShortage(e *dispatcher, room int) {
	m := &schedule.Shortage{Endpoint: e.id, FreeSlots: room}
	count := len(t.view.Routers)
	if count <= maxAnnounceRouters {
		for i := range t.view.Routers {
			t.messages = append(t.messages, schedule.Send{To: t.view.Routers[i].ID, Message: m})
		}
		return
	}
	t.messages = append(t.messages, schedule.Send{To: t.view.Self, Message: m})
	for _, i := range t.random.Perm(count)[:maxAnnounceRouters] {
		if id := t.view.Routers[i].ID; id != t.view.Self {
			t.messages = append(t.messages, schedule.Send{To: id, Message: m})
		}
	}
}
