package bidding

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// eligibleKey names a set of endpoints.
type eligibleKey struct{ pool, model string }

// endpoints are the endpoints of the view that can serve the line, in the
// view's order. Those that are ejected for a while are among them.
func (b *Bidder) endpoints(l *line) []*view.Endpoint {
	key := eligibleKey{l.key.pool, l.key.line.Model}
	list, ok := b.eligible[key]
	if ok {
		return list
	}
	for i := range b.view.Endpoints {
		e := &b.view.Endpoints[i]
		// An ejection ends by itself, so it does not count here.
		if e.Pool == key.pool && e.Takes(key.model, e.EjectedUntil) && b.owners[e.ID] != "" {
			list = append(list, e)
		}
	}
	b.eligible[key] = list
	return list
}

// spread brings the line's bids to where and what they should be.
func (b *Bidder) spread(now time.Time, l *line) {
	if l.queue.Len() == 0 {
		b.withdraw(now, l)
		return
	}
	if b.spreadLocal(now, l) >= l.queue.Len() {
		return
	}
	for _, s := range l.bids {
		if l.due(now, s) {
			b.send(s.owner, l.tell(now, s))
		}
	}
	endpoints := b.endpoints(l)
	missing := min(l.wanted(now), len(endpoints)) - l.placed()
	if missing <= 0 {
		return
	}
	missing -= b.spreadHinted(now, l, endpoints, missing)
	b.spreadRandom(now, l, endpoints, missing)
}

// spreadLocal bids where the router's own dispatchers have room, and returns
// the number of slots that it will be given.
func (b *Bidder) spreadLocal(now time.Time, l *line) int {
	slots := 0
	for _, e := range b.endpoints(l) {
		if b.owners[e.ID] != b.view.Self || now.Before(e.EjectedUntil) {
			continue
		}
		room := b.local.UnclaimedSlots(now, e.ID)
		if room == 0 {
			continue
		}
		if s := l.standing(e.ID); s == nil || s.remaining() == 0 || l.due(now, s) {
			b.place(now, l, e.ID)
		}
		slots += room
		if slots >= l.queue.Len() {
			break
		}
	}
	return slots
}

// spreadHinted bids where room was announced and returns the number of bids.
func (b *Bidder) spreadHinted(now time.Time, l *line, endpoints []*view.Endpoint, most int) int {
	p := b.pool(l.key.pool)
	placed := 0
	if len(p.hints) == 0 {
		return 0
	}
	first := b.random.IntN(len(endpoints))
	for i := range endpoints {
		id := endpoints[(first+i)%len(endpoints)].ID
		if placed == most {
			break
		}
		if s := l.standing(id); s != nil && s.remaining() > 0 {
			continue
		}
		if p.room(now, id, l.queue.Len()) {
			b.place(now, l, id)
			placed++
		}
	}
	return placed
}

// spreadRandom bids at endpoints chosen at random.
func (b *Bidder) spreadRandom(now time.Time, l *line, endpoints []*view.Endpoint, count int) {
	if count <= 0 {
		return
	}
	free := make([]*view.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if s := l.standing(e.ID); (s == nil || s.remaining() == 0) && !now.Before(e.EjectedUntil) {
			free = append(free, e)
		}
	}
	for ; count > 0 && len(free) > 0; count-- {
		i := b.random.IntN(len(free))
		b.place(now, l, free[i].ID)
		free[i] = free[len(free)-1]
		free = free[:len(free)-1]
	}
}

// place bids at an endpoint.
func (b *Bidder) place(now time.Time, l *line, id view.EndpointID) {
	s := l.standing(id)
	if s == nil {
		s = &standing{endpoint: id, owner: b.owners[id]}
		l.bids = append(l.bids, s)
	}
	b.send(s.owner, l.tell(now, s))
}

// withdraw takes back the bids of a line that has no work.
func (b *Bidder) withdraw(now time.Time, l *line) {
	if l.queue.Len() > 0 {
		return
	}
	for _, s := range l.bids {
		if s.remaining() > 0 {
			b.send(s.owner, l.tell(now, s))
		}
		s.told = 0
	}
}

// widen adds bids for a line whose head is being passed over, and takes bids
// back from one that is well served.
func (b *Bidder) widen(now time.Time, l *line) {
	if now.Before(l.widenAt) {
		return
	}
	l.widenAt = now.Add(widenEvery)
	most, placed := len(b.endpoints(l)), l.placed()
	if b.behind(now, l) {
		l.width = min(2*max(placed, firstBids), most)
		return
	}
	if now.Before(l.reviewAt) {
		return
	}
	l.reviewAt = now.Add(reviewEvery)
	if now.Sub(l.grantedAt) >= reviewEvery {
		l.width = min(placed+1, most)
		return
	}
	l.width /= 2
	b.narrow(now, l, placed-l.wanted(now))
}

// narrow takes back a part of the surplus of bids of a line that is not
// behind, so that shortages long past do not leave it bidding everywhere.
func (b *Bidder) narrow(now time.Time, l *line, surplus int) {
	if surplus <= 0 {
		return
	}
	first := b.random.IntN(len(l.bids))
	for count := (surplus + narrowParts - 1) / narrowParts; count > 0; first++ {
		s := l.bids[first%len(l.bids)]
		if s.remaining() == 0 {
			continue
		}
		b.send(s.owner, l.retract(now, s))
		count--
	}
}

// behind reports whether organisations that are further on are being served.
func (b *Bidder) behind(now time.Time, l *line) bool {
	return l.meter.Tag(now)+l.meter.estimate() < b.pool(l.key.pool).front(now)
}

// rehome sends the line's bids to the dispatchers that have taken endpoints
// over, and forgets the endpoints that can no longer serve it.
func (b *Bidder) rehome(now time.Time, l *line) {
	serves := map[view.EndpointID]bool{}
	for _, e := range b.endpoints(l) {
		serves[e.ID] = true
	}
	kept := l.bids[:0]
	for _, s := range l.bids {
		if !serves[s.endpoint] {
			continue
		}
		kept = append(kept, s)
		owner := b.owners[s.endpoint]
		if owner == s.owner {
			continue
		}
		s.owner = owner
		if s.remaining() > 0 {
			s.heardAt = time.Time{}
			bid := l.tell(now, s)
			bid.Resync = true
			b.send(owner, bid)
		}
	}
	clear(l.bids[len(kept):])
	l.bids = kept
}

// Shortage takes an announcement of room: the lines that wait bid there.
func (b *Bidder) Shortage(now time.Time, m *schedule.Shortage) {
	for i := range b.view.Endpoints {
		e := &b.view.Endpoints[i]
		if e.ID != m.Endpoint {
			continue
		}
		if b.owners[e.ID] != b.view.Self {
			b.pool(e.Pool).hinted(now, m.Endpoint, m.Room)
		}
		b.answer(now, e)
		return
	}
}

// answer bids at an endpoint that has room for every line that waits.
func (b *Bidder) answer(now time.Time, e *view.Endpoint) {
	for _, l := range b.lineOrder {
		if l.queue.Len() == 0 || l.key.pool != e.Pool || !e.Takes(l.key.line.Model, now) {
			continue
		}
		if s := l.standing(e.ID); s == nil || s.remaining() == 0 {
			b.place(now, l, e.ID)
		}
	}
}
