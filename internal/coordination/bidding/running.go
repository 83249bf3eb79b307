package bidding

import (
	"fmt"
	"sort"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// renewInterval is the time between two renewals of the grants in use.
	renewInterval = time.Second
	// clockSkew is the allowed difference between two routers' clocks.
	clockSkew = 2 * time.Second
	// grantIntervalWeight is the weight of a new sample in a queue's smoothed time
	// between grants.
	grantIntervalWeight = 0.2
)

// run is a request that has been started.
type run struct {
	request         schedule.Request
	grant           schedule.GrantID
	endpoint        view.EndpointID
	queue           schedule.QueueKey
	meter           *meter
	reserved        float64 // per unit of weight
	progressService float64 // units of service reported by Progress
	served          float64 // units of service
	firstToken      time.Duration
}

// running holds the requests that the router has started and that have not
// ended.
type running struct {
	byID       map[schedule.RequestID]*run
	byEndpoint map[view.EndpointID][]*run
	renewAt    time.Time
}

func newRunning() running {
	return running{byID: map[schedule.RequestID]*run{}, byEndpoint: map[view.EndpointID][]*run{}}
}

func (r *running) add(started *run) {
	r.byID[started.request.ID] = started
	r.byEndpoint[started.endpoint] = append(r.byEndpoint[started.endpoint], started)
}

func (r *running) remove(ended *run) {
	delete(r.byID, ended.request.ID)
	list := r.byEndpoint[ended.endpoint]
	for i, other := range list {
		if other == ended {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(r.byEndpoint, ended.endpoint)
		return
	}
	r.byEndpoint[ended.endpoint] = list
}

// endpoints returns the sorted endpoints at which requests of this router run.
func (r *running) endpoints() []view.EndpointID {
	ids := make([]view.EndpointID, 0, len(r.byEndpoint))
	for id := range r.byEndpoint {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// renew sends the dispatchers a list of this router's running requests every
// renewInterval.
func (r *running) renew(b *Bidder, now time.Time) {
	if now.Before(r.renewAt) {
		return
	}
	r.renewAt = now.Add(renewInterval)
	for _, id := range r.endpoints() {
		r.sendRenewal(b, id)
	}
}

// renewMoved sends renewals to the dispatchers that have just taken over
// endpoints.
func (r *running) renewMoved(b *Bidder, now time.Time, old map[view.EndpointID]view.RouterID) {
	for _, id := range r.endpoints() {
		if b.owners[id] != old[id] {
			r.sendRenewal(b, id)
		}
	}
}

// sendRenewal sends the endpoint's dispatcher the list of requests that this
// router runs there.
func (r *running) sendRenewal(b *Bidder, id view.EndpointID) {
	owner := b.owners[id]
	if owner == "" {
		return
	}
	m := &schedule.Renewal{Endpoint: id}
	for _, s := range r.byEndpoint[id] {
		m.Running = append(m.Running, schedule.Running{
			Grant: s.grant, Queue: s.queue, FirstToken: s.firstToken,
		})
	}
	b.send(owner, m)
}

// Grant takes a slot and starts the first request of the queue in it. If the
// queue is empty, the slot goes to another queue of the same organisation. The
// slot is returned if there is none, if the grant has expired, or if the
// endpoint no longer accepts requests for the model.
func (b *Bidder) Grant(now time.Time, from view.RouterID, m *schedule.Grant) {
	var endpoint *view.Endpoint
	for i := range b.view.Endpoints {
		if b.view.Endpoints[i].ID == m.Endpoint {
			endpoint = &b.view.Endpoints[i]
		}
	}
	if endpoint == nil {
		return
	}
	q := b.queues[queueKey{endpoint.Pool, m.Queue}]
	if q != nil {
		if s := q.bidAt(m.Endpoint); s != nil {
			s.received++
			s.silentSince = now
		}
	}
	unusable := now.After(m.Deadline.Add(clockSkew)) || !endpoint.Accepts(m.Queue.Model, now)
	if q != nil && q.waiting.Len() == 0 {
		q = b.otherQueue(q, endpoint, now)
	}
	if q == nil || unusable {
		b.returnUnused(now, from, m, q)
		return
	}
	b.pool(endpoint.Pool).recordServed(now, m.Virtual)
	b.start(now, q, endpoint, m)
	b.updateBids(now, q)
}

// otherQueue returns a queue of the same organisation that has requests which
// the endpoint can serve, or nil. Exclusive queues are excluded.
func (b *Bidder) otherQueue(empty *requestQueue, e *view.Endpoint, now time.Time) *requestQueue {
	for _, q := range b.queueOrder {
		if q.meter == empty.meter && q.waiting.Len() > 0 && !q.key.queue.Exclusive && e.Accepts(q.key.queue.Model, now) {
			return q
		}
	}
	return nil
}

// returnUnused returns a slot in which no request was started.
func (b *Bidder) returnUnused(now time.Time, from view.RouterID, m *schedule.Grant, q *requestQueue) {
	r := &schedule.Return{Grant: m.Grant, Endpoint: m.Endpoint, Queue: m.Queue, Result: schedule.ResultNotSent}
	if q != nil {
		r.Tag, r.Rate = q.meter.Counter(now), q.meter.Rate()
	}
	b.send(from, r)
}

// start starts the first request of the queue in the granted slot and sets its
// reserve aside.
func (b *Bidder) start(now time.Time, q *requestQueue, e *view.Endpoint, m *schedule.Grant) {
	i := q.waiting.first()
	b.remove(now, i)
	sinceGrant := now.Sub(q.grantedAt)
	q.grantInterval += time.Duration(grantIntervalWeight * float64(sinceGrant-q.grantInterval))
	q.grantedAt = now
	reserve := q.meter.reserve()
	counter := q.meter.Counter(now)
	q.meter.AddReserve(reserve)
	b.running.add(&run{
		request: i.request, grant: m.Grant, endpoint: e.ID, queue: m.Queue, meter: q.meter, reserved: reserve,
	})
	b.outputs = append(b.outputs, schedule.Start{
		ID: i.request.ID, Endpoint: e.ID,
		Reason: fmt.Sprintf("policy=share tag=%.0f dispatcherTag=%.0f reserve=%.0f waiting=%d",
			counter, m.Virtual, reserve, q.waiting.Len()),
	})
}

// Progress settles the service that a running request has received since its
// last report.
func (b *Bidder) Progress(m schedule.Progress) {
	r := b.running.byID[m.ID]
	if r == nil {
		return
	}
	if m.FirstToken > 0 {
		r.firstToken = m.FirstToken
	}
	r.settle(m.Service)
	r.progressService = r.served
}

// settle charges service to the organisation.
func (r *run) settle(service float64) {
	r.served += service
	r.meter.AddService(service / r.meter.weight)
}

// Complete handles the end of a running request: it settles the remaining
// service and returns the slot.
func (b *Bidder) Complete(now time.Time, m schedule.Completion) {
	r := b.running.byID[m.ID]
	if r == nil {
		return
	}
	b.running.remove(r)
	r.meter.ReleaseReserve(r.reserved)
	if m.Result == schedule.ResultFinished && r.served+m.Service == 0 {
		m.Service = r.reserved * r.meter.weight // no service was reported, so the estimate is charged
	}
	r.settle(m.Service)
	if m.Result == schedule.ResultFinished {
		r.meter.costs.learn(r.served, r.progressService)
	}
	if owner := b.owners[r.endpoint]; owner != "" {
		b.send(owner, &schedule.Return{
			Grant: r.grant, Endpoint: r.endpoint, Queue: r.queue, Result: m.Result,
			Elapsed: m.Elapsed, FirstToken: r.firstToken, Tag: r.meter.Counter(now), Rate: r.meter.Rate(),
		})
	}
}
