package bidding

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// eligibleKey identifies a set of endpoints that can serve the same requests.
type eligibleKey struct{ pool, model string }

// endpoints returns the endpoints of the view that can serve the queue, in the
// view's order. Endpoints that are ejected at present are included.
func (b *Bidder) endpoints(q *requestQueue) []*view.Endpoint {
	key := eligibleKey{q.key.pool, q.key.queue.Model}
	list, ok := b.eligible[key]
	if ok {
		return list
	}
	for i := range b.view.Endpoints {
		e := &b.view.Endpoints[i]
		// An ejection ends by itself, so an ejected endpoint stays eligible: Accepts
		// is evaluated as of the end of the ejection.
		if e.Pool == key.pool && e.Accepts(key.model, e.EjectedUntil) && b.owners[e.ID] != "" {
			list = append(list, e)
		}
	}
	b.eligible[key] = list
	return list
}

// updateBids brings the queue's bids in line with its waiting requests.
func (b *Bidder) updateBids(now time.Time, q *requestQueue) {
	if q.waiting.Len() == 0 {
		b.withdrawBids(now, q)
		return
	}
	if b.bidLocally(now, q) >= q.waiting.Len() {
		return
	}
	for _, s := range q.bids {
		if q.needsUpdate(now, s) {
			b.send(s.owner, q.nextBid(now, s))
		}
	}
	endpoints := b.endpoints(q)
	missing := min(q.targetBids(now), len(endpoints)) - q.liveBids()
	if missing <= 0 {
		return
	}
	missing -= b.bidAtHints(now, q, endpoints, missing)
	b.bidAtRandom(now, q, endpoints, missing)
}

// bidLocally bids at the router's own dispatchers that have free slots, and
// returns the number of these slots.
func (b *Bidder) bidLocally(now time.Time, q *requestQueue) int {
	slots := 0
	for _, e := range b.endpoints(q) {
		if b.owners[e.ID] != b.view.Self || now.Before(e.EjectedUntil) {
			continue
		}
		room := b.local.UnclaimedSlots(now, e.ID)
		if room == 0 {
			continue
		}
		if s := q.bidAt(e.ID); s == nil || s.remaining() == 0 || q.needsUpdate(now, s) {
			b.placeBid(now, q, e.ID)
		}
		slots += room
		if slots >= q.waiting.Len() {
			break
		}
	}
	return slots
}

// bidAtHints bids at endpoints for which dispatchers have announced free slots,
// and returns the number of bids.
func (b *Bidder) bidAtHints(now time.Time, q *requestQueue, endpoints []*view.Endpoint, limit int) int {
	p := b.pool(q.key.pool)
	placed := 0
	if len(p.hints) == 0 {
		return 0
	}
	first := b.random.IntN(len(endpoints))
	for i := range endpoints {
		id := endpoints[(first+i)%len(endpoints)].ID
		if placed == limit {
			break
		}
		if s := q.bidAt(id); s != nil && s.remaining() > 0 {
			continue
		}
		if p.takeHint(now, id, q.waiting.Len()) {
			b.placeBid(now, q, id)
			placed++
		}
	}
	return placed
}

// bidAtRandom bids at endpoints chosen at random among those without a live
// bid.
func (b *Bidder) bidAtRandom(now time.Time, q *requestQueue, endpoints []*view.Endpoint, count int) {
	if count <= 0 {
		return
	}
	free := make([]*view.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if s := q.bidAt(e.ID); (s == nil || s.remaining() == 0) && !now.Before(e.EjectedUntil) {
			free = append(free, e)
		}
	}
	for ; count > 0 && len(free) > 0; count-- {
		i := b.random.IntN(len(free))
		b.placeBid(now, q, free[i].ID)
		free[i] = free[len(free)-1]
		free = free[:len(free)-1]
	}
}

// placeBid bids at an endpoint.
func (b *Bidder) placeBid(now time.Time, q *requestQueue, id view.EndpointID) {
	s := q.bidAt(id)
	if s == nil {
		s = &placedBid{endpoint: id, owner: b.owners[id]}
		q.bids = append(q.bids, s)
	}
	b.send(s.owner, q.nextBid(now, s))
}

// withdrawBids withdraws the bids of an empty queue.
func (b *Bidder) withdrawBids(now time.Time, q *requestQueue) {
	if q.waiting.Len() > 0 {
		return
	}
	for _, s := range q.bids {
		if s.remaining() > 0 {
			b.send(s.owner, q.nextBid(now, s))
		}
		s.statedWaiting = 0
	}
}

// adjustWidth lets a queue that is behind bid at twice as many endpoints. A queue
// that is not behind bids at one more endpoint if it had no grant within
// reviewInterval; otherwise a part of its surplus bids is withdrawn.
func (b *Bidder) adjustWidth(now time.Time, q *requestQueue) {
	if now.Before(q.widenAt) {
		return
	}
	q.widenAt = now.Add(widenInterval)
	available, placed := len(b.endpoints(q)), q.liveBids()
	if b.behind(now, q) {
		q.width = min(2*max(placed, initialBidsPerRequest), available)
		return
	}
	if now.Before(q.reviewAt) {
		return
	}
	q.reviewAt = now.Add(reviewInterval)
	if now.Sub(q.grantedAt) >= reviewInterval {
		q.width = min(placed+1, available)
		return
	}
	q.width /= 2
	b.withdrawSurplus(now, q, placed-q.targetBids(now))
}

// withdrawSurplus withdraws a part of the surplus bids of a queue that is not
// behind, so that the queue does not go on bidding everywhere after a shortage
// has ended.
func (b *Bidder) withdrawSurplus(now time.Time, q *requestQueue, surplus int) {
	if surplus <= 0 {
		return
	}
	first := b.random.IntN(len(q.bids))
	for count := (surplus + narrowDivisor - 1) / narrowDivisor; count > 0; first++ {
		s := q.bids[first%len(q.bids)]
		if s.remaining() == 0 {
			continue
		}
		b.send(s.owner, q.withdrawalBid(now, s))
		count--
	}
}

// behind reports whether an organisation is being served in the pool whose
// counter is higher by more than the estimated cost of a request.
func (b *Bidder) behind(now time.Time, q *requestQueue) bool {
	return q.meter.Counter(now)+q.meter.estimate() < b.pool(q.key.pool).highestServed(now)
}

// reassignBids sends the queue's bids to the dispatchers that have taken over
// endpoints, and drops the bids at endpoints that can no longer serve the
// queue.
func (b *Bidder) reassignBids(now time.Time, q *requestQueue) {
	serves := map[view.EndpointID]bool{}
	for _, e := range b.endpoints(q) {
		serves[e.ID] = true
	}
	remainingBids := q.bids[:0]
	for _, s := range q.bids {
		if !serves[s.endpoint] {
			continue
		}
		remainingBids = append(remainingBids, s)
		owner := b.owners[s.endpoint]
		if owner == s.owner {
			continue
		}
		s.owner = owner
		if s.remaining() > 0 {
			s.silentSince = time.Time{}
			bid := q.nextBid(now, s)
			bid.Resync = true
			b.send(owner, bid)
		}
	}
	clear(q.bids[len(remainingBids):])
	q.bids = remainingBids
}

// Shortage handles an announcement of free slots: non-empty queues bid there.
func (b *Bidder) Shortage(now time.Time, m *schedule.Shortage) {
	for i := range b.view.Endpoints {
		e := &b.view.Endpoints[i]
		if e.ID != m.Endpoint {
			continue
		}
		if b.owners[e.ID] != b.view.Self {
			b.pool(e.Pool).addHint(now, m.Endpoint, m.FreeSlots)
		}
		b.bidForAll(now, e)
		return
	}
}

// bidForAll places a bid for every non-empty queue that the endpoint can serve.
func (b *Bidder) bidForAll(now time.Time, e *view.Endpoint) {
	for _, q := range b.queueOrder {
		if q.waiting.Len() == 0 || q.key.pool != e.Pool || !e.Accepts(q.key.queue.Model, now) {
			continue
		}
		if s := q.bidAt(e.ID); s == nil || s.remaining() == 0 {
			b.placeBid(now, q, e.ID)
		}
	}
}
