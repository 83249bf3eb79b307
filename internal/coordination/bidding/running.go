package bidding

import (
	"fmt"
	"sort"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// renewEvery is the distance of renewals of the grants in use.
	renewEvery = time.Second
	// clockSkew is allowed between two routers' clocks.
	clockSkew = 2 * time.Second
	// paceWeight is the weight of a new interval in a line's smoothed time
	// between grants.
	paceWeight = 0.2
)

// run is a request that has been started.
type run struct {
	request    schedule.Request
	grant      schedule.GrantID
	endpoint   view.EndpointID
	line       schedule.QueueKey
	meter      *meter
	reserved   float64 // per unit of weight
	early      float64 // units of service before the end
	served     float64 // units of service
	firstToken time.Duration
}

// running is everything that the router has started.
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

// list is the endpoints at which something runs, sorted.
func (r *running) list() []view.EndpointID {
	ids := make([]view.EndpointID, 0, len(r.byEndpoint))
	for id := range r.byEndpoint {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// renew tells the dispatchers what runs here when it is time to.
func (r *running) renew(b *Bidder, now time.Time) {
	if now.Before(r.renewAt) {
		return
	}
	r.renewAt = now.Add(renewEvery)
	for _, id := range r.list() {
		r.tell(b, id)
	}
}

// moved tells the dispatchers that have just taken endpoints over.
func (r *running) moved(b *Bidder, now time.Time, old map[view.EndpointID]view.RouterID) {
	for _, id := range r.list() {
		if b.owners[id] != old[id] {
			r.tell(b, id)
		}
	}
}

func (r *running) tell(b *Bidder, id view.EndpointID) {
	owner := b.owners[id]
	if owner == "" {
		return
	}
	m := &schedule.Renewal{Endpoint: id}
	for _, s := range r.byEndpoint[id] {
		m.Running = append(m.Running, schedule.Running{
			Grant: s.grant, Queue: s.line, FirstToken: s.firstToken,
		})
	}
	b.send(owner, m)
}

// Grant takes a slot: the line's first request runs in it. A line that has
// nothing left lets another line of the same organisation use it; otherwise
// the slot goes back.
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
	l := b.lines[lineKey{endpoint.Pool, m.Queue}]
	if l != nil {
		if s := l.standing(m.Endpoint); s != nil {
			s.received++
			s.heardAt = now
		}
	}
	late := now.After(m.Deadline.Add(clockSkew)) || !endpoint.Takes(m.Queue.Model, now)
	if l != nil && l.queue.Len() == 0 {
		l = b.sibling(l, endpoint, now)
	}
	if l == nil || late {
		b.giveBack(now, from, m, l)
		return
	}
	b.pool(endpoint.Pool).served(now, m.Virtual)
	b.start(now, l, endpoint, m)
	b.spread(now, l)
}

// sibling is another line of the organisation that the endpoint can serve.
func (b *Bidder) sibling(empty *line, e *view.Endpoint, now time.Time) *line {
	for _, l := range b.lineOrder {
		if l.meter == empty.meter && l.queue.Len() > 0 && !l.key.line.Exclusive && e.Takes(l.key.line.Model, now) {
			return l
		}
	}
	return nil
}

func (b *Bidder) giveBack(now time.Time, from view.RouterID, m *schedule.Grant, l *line) {
	r := &schedule.Return{Grant: m.Grant, Endpoint: m.Endpoint, Queue: m.Queue, Result: schedule.ResultNotSent}
	if l != nil {
		r.Tag, r.Rate = l.meter.Tag(now), l.meter.Rate()
	}
	b.send(from, r)
}

func (b *Bidder) start(now time.Time, l *line, e *view.Endpoint, m *schedule.Grant) {
	i := l.queue.first()
	b.remove(now, i)
	gap := now.Sub(l.grantedAt)
	l.pace += time.Duration(paceWeight * float64(gap-l.pace))
	l.grantedAt = now
	reserve := l.meter.reserve()
	tag := l.meter.Tag(now)
	l.meter.Reserve(reserve)
	b.running.add(&run{
		request: i.request, grant: m.Grant, endpoint: e.ID, line: m.Queue, meter: l.meter, reserved: reserve,
	})
	b.out = append(b.out, schedule.Start{
		ID: i.request.ID, Endpoint: e.ID,
		Reason: fmt.Sprintf("policy=share tag=%.0f dispatcherTag=%.0f reserve=%.0f waiting=%d",
			tag, m.Virtual, reserve, l.queue.Len()),
	})
}

// Progress takes service that a running request has received.
func (b *Bidder) Progress(m schedule.Progress) {
	r := b.running.byID[m.ID]
	if r == nil {
		return
	}
	if m.FirstToken > 0 {
		r.firstToken = m.FirstToken
	}
	r.serve(m.Service)
	r.early = r.served
}

// serve settles service.
func (r *run) serve(service float64) {
	r.served += service
	r.meter.Serve(service / r.meter.weight)
}

// Complete takes the end of a running request, settles what it received and
// gives the slot back.
func (b *Bidder) Complete(now time.Time, m schedule.Completion) {
	r := b.running.byID[m.ID]
	if r == nil {
		return
	}
	b.running.remove(r)
	r.meter.Free(r.reserved)
	if m.Result == schedule.ResultFinished && r.served+m.Service == 0 {
		m.Service = r.reserved * r.meter.weight // nobody said what it cost
	}
	r.serve(m.Service)
	if m.Result == schedule.ResultFinished {
		r.meter.costs.learn(r.served, r.early)
	}
	if owner := b.owners[r.endpoint]; owner != "" {
		b.send(owner, &schedule.Return{
			Grant: r.grant, Endpoint: r.endpoint, Queue: r.line, Result: m.Result,
			Elapsed: m.Elapsed, FirstToken: r.firstToken, Tag: r.meter.Tag(now), Rate: r.meter.Rate(),
		})
	}
}
