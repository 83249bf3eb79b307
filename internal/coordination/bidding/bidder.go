package bidding

import (
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// DefaultMaxWaiting is the number of requests that wait at a router at
	// most, unless it is told otherwise.
	DefaultMaxWaiting = 20_000
	// DefaultMaxWaitingBytes bounds the bodies of waiting requests, in bytes.
	DefaultMaxWaitingBytes = 256 << 20
	// patience is how long a request that may not wait is kept while bids
	// are out.
	patience = 50 * time.Millisecond
	// busyTick is the greatest distance of ticks while work waits, and
	// idleTick that of ticks without.
	busyTick = 20 * time.Millisecond
	idleTick = 250 * time.Millisecond
	// emptyLineLifetime is how long a line without work is remembered.
	emptyLineLifetime = 2 * 15 * time.Second
	// leastRetry and mostRetry bound the time for which a refused caller is
	// asked to stay away.
	leastRetry = time.Second
	mostRetry  = 30 * time.Second
)

// Local is what the bidder asks of the dispatchers in its own router.
type LocalDispatchers interface {
	// Room is the number of free slots for which nobody bids.
	UnclaimedSlots(now time.Time, id view.EndpointID) int
	// Lowest is the least counter lately served in the pool.
	LowestServed(now time.Time, pool string) (float64, bool)
}

// Options configure a Bidder.
type Options struct {
	// MaxWaiting is the greatest number of waiting requests.
	MaxWaiting int
	// MaxWaitingBytes bounds the bodies of waiting requests, in bytes.
	MaxWaitingBytes int64
}

// Bidder is the router's side of scheduling.
type Bidder struct {
	options     Options
	random      *rand.Rand
	local       LocalDispatchers
	incarnation uint64
	view        *view.Snapshot
	owners      map[view.EndpointID]view.RouterID
	eligible    map[eligibleKey][]*view.Endpoint
	holders     map[meterKey]view.RouterID
	store       store
	lines       map[lineKey]*line
	lineOrder   []*line
	meters      map[meterKey]*meter
	meterOrder  []*meter
	pools       map[string]*pool
	running     running
	// tick is the distance of ticks while work waits.
	tick time.Duration
	out  []schedule.Output
}

// New returns a bidder that knows no endpoints until the first Change.
func New(options Options, random *rand.Rand, local LocalDispatchers) *Bidder {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if options.MaxWaitingBytes == 0 {
		options.MaxWaitingBytes = DefaultMaxWaitingBytes
	}
	return &Bidder{
		options: options, random: random, local: local, incarnation: random.Uint64(),
		view:     &view.Snapshot{},
		eligible: map[eligibleKey][]*view.Endpoint{},
		holders:  map[meterKey]view.RouterID{},
		store:    newStore(),
		lines:    map[lineKey]*line{},
		meters:   map[meterKey]*meter{},
		pools:    map[string]*pool{},
		running:  newRunning(),
		tick:     busyTick,
	}
}

// Take returns what is to be done and forgets it. The slice is valid until the
// next call of any method.
func (b *Bidder) TakeOutputs() []schedule.Output {
	out := b.out
	b.out = b.out[:0]
	return out
}

func (b *Bidder) send(to view.RouterID, m schedule.Message) {
	b.out = append(b.out, schedule.Send{To: to, Message: m})
}

// Arrive takes a request.
func (b *Bidder) Arrive(now time.Time, r schedule.Request) {
	l := b.lineOf(now, &r)
	i := &item{request: r, line: l, deadline: r.Deadline, reason: schedule.RefusalDeadline}
	if !r.MayWait && len(b.endpoints(l)) == 0 {
		b.refuse(now, i, schedule.RefusalNoEndpoint)
		return
	}
	if end := now.Add(patience); !r.MayWait && (r.Deadline.IsZero() || end.Before(r.Deadline)) {
		i.deadline, i.reason = end, schedule.RefusalOverload
	}
	if l.queue.Len() == 0 {
		l.grantedAt = now
		l.widenAt = now.Add(widenEvery)
		if !b.behind(now, l) {
			l.width = 0
		}
	}
	l.meter.costs.hint = r.Estimate
	l.meter.waiting++
	b.store.add(i)
	b.shed(now, i)
	b.spread(now, l)
}

// shed refuses waiting requests until the bounds hold again.
func (b *Bidder) shed(now time.Time, added *item) {
	name := added.request.Organisation
	limits := b.view.Organisations[name]
	if own := b.store.organisations[name]; limits.MaxWaiting > 0 && own.shed.Len() > limits.MaxWaiting ||
		limits.MaxWaitingBytes > 0 && own.bytes > limits.MaxWaitingBytes {
		b.drop(now, own.shed.first(), schedule.RefusalOverload)
	}
	for len(b.store.byID) > b.options.MaxWaiting || b.store.bytes > b.options.MaxWaitingBytes {
		b.drop(now, b.store.longest().shed.first(), schedule.RefusalOverload)
	}
}

// remove takes an item out of the queues.
func (b *Bidder) remove(now time.Time, i *item) {
	b.store.remove(i)
	m := i.line.meter
	m.waiting--
	if m.waiting == 0 {
		m.emptyAt = now
	}
	if i.line.queue.Len() == 0 {
		i.line.emptyAt = now
		i.line.width /= 2
	}
}

func (b *Bidder) drop(now time.Time, i *item, reason schedule.RefusalReason) {
	b.remove(now, i)
	b.refuse(now, i, reason)
	b.withdraw(now, i.line)
}

func (b *Bidder) refuse(now time.Time, i *item, reason schedule.RefusalReason) {
	b.out = append(b.out, schedule.Refusal{
		ID: i.request.ID, Reason: reason, RetryAt: now.Add(b.retryAfter(i.line)),
	})
}

// retryAfter is about the time that half of the line takes to be served.
func (b *Bidder) retryAfter(l *line) time.Duration {
	return min(max(l.pace*time.Duration(l.queue.Len())/2, leastRetry), mostRetry)
}

// Depart takes word that a waiting request's caller has gone.
func (b *Bidder) Depart(now time.Time, id schedule.RequestID) {
	if i := b.store.byID[id]; i != nil {
		b.remove(now, i)
		b.withdraw(now, i.line)
	}
}

// Change takes a new view with the router that dispatches each endpoint.
func (b *Bidder) Change(now time.Time, v *view.Snapshot, owners map[view.EndpointID]view.RouterID) {
	old := b.owners
	b.view, b.owners = v, owners
	clear(b.eligible)
	clear(b.holders)
	b.running.moved(b, now, old)
	for _, l := range b.lineOrder {
		b.rehome(now, l)
		b.spread(now, l)
	}
}

// Tick refuses what has come to its deadline, widens bids, and reports. It
// returns the instant of the next tick; zero if there is nothing to wait for.
func (b *Bidder) Tick(now time.Time) time.Time {
	b.expire(now)
	for _, l := range b.lineOrder {
		if l.queue.Len() == 0 {
			continue
		}
		b.strand(now, l)
		b.widen(now, l)
		b.spread(now, l)
	}
	b.tellCounters(now)
	b.report(now)
	b.running.renew(b, now)
	b.forget(now)
	return b.Due(now)
}

// expire refuses the requests that have come to their deadline.
func (b *Bidder) expire(now time.Time) {
	for {
		i := b.store.deadlines.first()
		if i == nil || now.Before(i.deadline) {
			return
		}
		b.drop(now, i, i.reason)
	}
}

// strand refuses a line for which no endpoint has been known for too long.
func (b *Bidder) strand(now time.Time, l *line) {
	if len(b.endpoints(l)) > 0 {
		l.strandedAt = time.Time{}
		return
	}
	if l.strandedAt.IsZero() {
		l.strandedAt = now
	}
	for now.Sub(l.strandedAt) >= noEndpointGrace && l.queue.Len() > 0 {
		b.drop(now, l.queue.first(), schedule.RefusalNoEndpoint)
	}
}

// forget drops lines that have been empty for long.
func (b *Bidder) forget(now time.Time) {
	kept := b.lineOrder[:0]
	for _, l := range b.lineOrder {
		if l.queue.Len() == 0 && now.Sub(l.emptyAt) > emptyLineLifetime {
			delete(b.lines, l.key)
			continue
		}
		kept = append(kept, l)
	}
	clear(b.lineOrder[len(kept):])
	b.lineOrder = kept
}

// Due is the latest instant at which Tick should next be called; zero if there
// is nothing to wait for.
func (b *Bidder) Due(now time.Time) time.Time {
	if first := b.store.deadlines.first(); len(b.store.byID) > 0 {
		next := now.Add(b.tick)
		if first != nil && first.deadline.Before(next) {
			next = first.deadline
		}
		return next
	}
	if len(b.running.byID) > 0 {
		return now.Add(idleTick)
	}
	for _, m := range b.meterOrder {
		if m.waits(now) || m.reported.waiting || m.Total() != m.Acknowledged() {
			return now.Add(idleTick)
		}
	}
	return time.Time{}
}

// lineOf returns the line that the request belongs to.
func (b *Bidder) lineOf(now time.Time, r *schedule.Request) *line {
	key := lineKey{r.Pool, schedule.QueueKey{Organisation: r.Organisation, Model: r.Model, Exclusive: r.Exclusive}}
	l := b.lines[key]
	if l == nil {
		l = &line{key: key, queue: items{kind: heapServe}, emptyAt: now}
		b.lines[key] = l
		b.lineOrder = append(b.lineOrder, l)
	}
	l.meter = b.meterOf(r.Pool, r.Organisation)
	return l
}
