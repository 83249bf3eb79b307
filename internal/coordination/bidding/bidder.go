package bidding

import (
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// DefaultMaxWaiting is the default limit of the number of requests that wait
	// at a router.
	DefaultMaxWaiting = 20_000
	// DefaultMaxWaitingBytes is the default limit of the bodies of waiting
	// requests, in bytes.
	DefaultMaxWaitingBytes = 256 << 20
	// noWaitTimeout is how long a request that may not wait is held while its bids
	// are answered.
	noWaitTimeout = 50 * time.Millisecond
	// busyTickInterval is the longest time between ticks while requests wait, and
	// idleTickInterval the time between ticks while none does.
	busyTickInterval = 20 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// emptyQueueLifetime is how long an empty queue is retained. It is twice the
	// lifetime of a bid at a dispatcher: a queue that is created again counts
	// received grants from zero, so the dispatchers' bids of the earlier queue should
	// have expired.
	emptyQueueLifetime = 2 * 15 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller
	// is invited to retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// LocalDispatchers gives access to the dispatchers in the bidder's own router.
type LocalDispatchers interface {
	// UnclaimedSlots is the number of the endpoint's free slots if no bid is
	// waiting there; zero otherwise.
	UnclaimedSlots(now time.Time, id view.EndpointID) int
	// LowestServed is the lowest counter of an organisation at the time of a recent
	// grant in the pool; false if the dispatchers gave no recent grant.
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
	owners      map[view.EndpointID]view.RouterID // routers that dispatch the endpoints
	eligible    map[eligibleKey][]*view.Endpoint  // cached results of endpoints
	holders     map[meterKey]view.RouterID        // cached results of accountHolder
	store       store
	queues      map[queueKey]*requestQueue
	queueOrder  []*requestQueue
	meters      map[meterKey]*meter
	meterOrder  []*meter
	pools       map[string]*pool
	running     running
	// tickInterval is the longest time between ticks while requests wait.
	tickInterval time.Duration
	outputs      []schedule.Output
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
		view:         &view.Snapshot{},
		eligible:     map[eligibleKey][]*view.Endpoint{},
		holders:      map[meterKey]view.RouterID{},
		store:        newStore(),
		queues:       map[queueKey]*requestQueue{},
		meters:       map[meterKey]*meter{},
		pools:        map[string]*pool{},
		running:      newRunning(),
		tickInterval: busyTickInterval,
	}
}

// TakeOutputs returns the pending outputs and clears them. The slice is valid
// until the next call of any method.
func (b *Bidder) TakeOutputs() []schedule.Output {
	out := b.outputs
	b.outputs = b.outputs[:0]
	return out
}

func (b *Bidder) send(to view.RouterID, m schedule.Message) {
	b.outputs = append(b.outputs, schedule.Send{To: to, Message: m})
}

// Arrive queues a request and bids for it.
func (b *Bidder) Arrive(now time.Time, r schedule.Request) {
	q := b.queueOf(now, &r)
	i := &item{request: r, queue: q, deadline: r.Deadline, reason: schedule.RefusalDeadline}
	if !r.MayWait && len(b.endpoints(q)) == 0 {
		b.refuse(now, i, schedule.RefusalNoEndpoint)
		return
	}
	if end := now.Add(noWaitTimeout); !r.MayWait && (r.Deadline.IsZero() || end.Before(r.Deadline)) {
		i.deadline, i.reason = end, schedule.RefusalOverload
	}
	if q.waiting.Len() == 0 {
		q.grantedAt = now
		q.widenAt = now.Add(widenInterval)
		if !b.behind(now, q) {
			q.width = 0
		}
	}
	q.meter.costs.callerEstimate = r.Estimate
	q.meter.waitingCount++
	b.store.add(i)
	b.shed(now, i)
	b.updateBids(now, q)
}

// shed refuses one request of the organisation if the organisation exceeds its
// own limits, and then requests of the largest backlogs until the router's
// limits are met.
func (b *Bidder) shed(now time.Time, added *item) {
	name := added.request.Organisation
	limits := b.view.Organisations[name]
	if own := b.store.organisations[name]; limits.MaxWaiting > 0 && own.shed.Len() > limits.MaxWaiting ||
		limits.MaxWaitingBytes > 0 && own.bytes > limits.MaxWaitingBytes {
		b.drop(now, own.shed.first(), schedule.RefusalOverload)
	}
	for len(b.store.byID) > b.options.MaxWaiting || b.store.bytes > b.options.MaxWaitingBytes {
		b.drop(now, b.store.largest().shed.first(), schedule.RefusalOverload)
	}
}

// remove takes an item out of all queues.
func (b *Bidder) remove(now time.Time, i *item) {
	b.store.remove(i)
	m := i.queue.meter
	m.waitingCount--
	if m.waitingCount == 0 {
		m.emptySince = now
	}
	if i.queue.waiting.Len() == 0 {
		i.queue.emptySince = now
		i.queue.width /= 2
	}
}

func (b *Bidder) drop(now time.Time, i *item, reason schedule.RefusalReason) {
	b.remove(now, i)
	b.refuse(now, i, reason)
	b.withdrawBids(now, i.queue)
}

func (b *Bidder) refuse(now time.Time, i *item, reason schedule.RefusalReason) {
	b.outputs = append(b.outputs, schedule.Refusal{
		ID: i.request.ID, Reason: reason, RetryAt: now.Add(b.retryAfter(i.queue)),
	})
}

// retryAfter is an estimate of the time in which half of the queue is served,
// within bounds.
func (b *Bidder) retryAfter(q *requestQueue) time.Duration {
	return min(max(q.grantInterval*time.Duration(q.waiting.Len())/2, minRetryAfter), maxRetryAfter)
}

// Depart removes a waiting request whose caller has gone.
func (b *Bidder) Depart(now time.Time, id schedule.RequestID) {
	if i := b.store.byID[id]; i != nil {
		b.remove(now, i)
		b.withdrawBids(now, i.queue)
	}
}

// Change installs a new view and, for each endpoint, the router that dispatches
// it.
func (b *Bidder) Change(now time.Time, v *view.Snapshot, owners map[view.EndpointID]view.RouterID) {
	old := b.owners
	b.view, b.owners = v, owners
	clear(b.eligible)
	clear(b.holders)
	b.running.renewMoved(b, now, old)
	for _, q := range b.queueOrder {
		b.reassignBids(now, q)
		b.updateBids(now, q)
	}
}

// Tick refuses the requests that have reached their deadline, adjusts bids, and
// reports to account holders and dispatchers. It returns the instant of the
// next tick; zero if no tick is needed.
func (b *Bidder) Tick(now time.Time) time.Time {
	b.expire(now)
	for _, q := range b.queueOrder {
		if q.waiting.Len() == 0 {
			continue
		}
		b.refuseWithoutEndpoint(now, q)
		b.adjustWidth(now, q)
		b.updateBids(now, q)
	}
	b.sendCounters(now)
	b.report(now)
	b.running.renew(b, now)
	b.removeEmptyQueues(now)
	return b.Due(now)
}

// expire refuses the requests that have reached their deadline.
func (b *Bidder) expire(now time.Time) {
	for {
		i := b.store.deadlines.first()
		if i == nil || now.Before(i.deadline) {
			return
		}
		b.drop(now, i, i.reason)
	}
}

// refuseWithoutEndpoint refuses the requests of a queue for which no endpoint
// has been eligible for noEndpointGrace.
func (b *Bidder) refuseWithoutEndpoint(now time.Time, q *requestQueue) {
	if len(b.endpoints(q)) > 0 {
		q.noEndpointSince = time.Time{}
		return
	}
	if q.noEndpointSince.IsZero() {
		q.noEndpointSince = now
	}
	for now.Sub(q.noEndpointSince) >= noEndpointGrace && q.waiting.Len() > 0 {
		b.drop(now, q.waiting.first(), schedule.RefusalNoEndpoint)
	}
}

// removeEmptyQueues deletes the queues that have been empty for longer than
// emptyQueueLifetime.
func (b *Bidder) removeEmptyQueues(now time.Time) {
	remaining := b.queueOrder[:0]
	for _, q := range b.queueOrder {
		if q.waiting.Len() == 0 && now.Sub(q.emptySince) > emptyQueueLifetime {
			delete(b.queues, q.key)
			continue
		}
		remaining = append(remaining, q)
	}
	clear(b.queueOrder[len(remaining):])
	b.queueOrder = remaining
}

// Due is the latest instant at which Tick should next be called; zero if no
// tick is needed.
func (b *Bidder) Due(now time.Time) time.Time {
	if first := b.store.deadlines.first(); len(b.store.byID) > 0 {
		next := now.Add(b.tickInterval)
		if first != nil && first.deadline.Before(next) {
			next = first.deadline
		}
		return next
	}
	if len(b.running.byID) > 0 {
		return now.Add(idleTickInterval)
	}
	for _, m := range b.meterOrder {
		if m.hasWork(now) || m.reported.waiting || m.Total() != m.Acknowledged() {
			return now.Add(idleTickInterval)
		}
	}
	return time.Time{}
}

// queueOf returns the queue that the request belongs to.
func (b *Bidder) queueOf(now time.Time, r *schedule.Request) *requestQueue {
	key := queueKey{r.Pool, schedule.QueueKey{Organisation: r.Organisation, Model: r.Model, Exclusive: r.Exclusive}}
	q := b.queues[key]
	if q == nil {
		q = &requestQueue{key: key, waiting: itemHeap{kind: heapServe}, emptySince: now}
		b.queues[key] = q
		b.queueOrder = append(b.queueOrder, q)
	}
	q.meter = b.meterOf(r.Pool, r.Organisation)
	return q
}
