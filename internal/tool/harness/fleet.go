package harness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// Policy returns a new scheduler for one router.
type Policy func(source rand.Source) schedule.Scheduler

// Settings describe a fleet and its load.
type Settings struct {
	Seed          uint64
	Routers       int
	Endpoints     []Endpoint
	Organisations []Organisation
	// Delay is the latency of a message between two routers.
	Delay time.Duration
	// WarmUp is the length of the warm-up, which the figures leave out, and
	// Length that of the scenario, warm-up included.
	WarmUp, Length time.Duration
	Policy         Policy
	// MessageSize returns the bytes of a message on the wire. If it is nil,
	// bytes are not counted.
	MessageSize func(schedule.Message) int
	// Faults are injected during the scenario.
	Faults []Fault
}

// Organisation describes the load of one organisation.
type Organisation struct {
	Name   string
	Weight float64
	// Routers are the indices of the routers to which its callers connect.
	Routers []int
	// Backlog is the number of requests that are kept waiting.
	Backlog int
	// MinCost and MaxCost bound the uniformly distributed cost of a request, in
	// units of service.
	MinCost, MaxCost float64
	// ArrivalInterval is the mean interval of additional requests, which have
	// the urgency Urgency and arrive independently of the backlog. Zero means
	// none.
	ArrivalInterval time.Duration
	Urgency         int
}

// Fault is a change of the fleet at the time At after the start.
type Fault struct {
	At   time.Duration
	Name string
	Do   func(f *Fleet)
}

// event is a function that is due at an instant of virtual time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface. Events of the same instant are ordered by
// seq, the order in which they were scheduled.
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// router is one simulated router with its scheduler.
type router struct {
	index     int
	id        view.RouterID
	scheduler schedule.Scheduler
	// incarnation changes with every start and stop of the router; events of
	// an earlier incarnation are dropped.
	incarnation uint64
	down        bool
	domain      int
	lastAlarm   uint64
}

// Fleet is a simulated fleet that runs one scenario.
type Fleet struct {
	Settings Settings
	now      time.Duration
	queue    eventQueue
	lastSeq  uint64
	random   *rand.Rand
	routers  []*router
	engines  []*engine
	callers  []*caller
	requests map[schedule.RequestID]*request
	lastID   schedule.RequestID
	cut      map[int]bool // failure domains that are cut off
	metrics  metrics
	// violations describes the scheduler outputs that break the scheduler's
	// contract, such as a second start of a request.
	violations []string
}

// startTime is the instant at which every scenario starts.
var startTime = time.Unix(1_700_000_000, 0)

// domains is the number of failure domains.
const domains = 3

// Run runs a scenario and returns its figures.
func Run(settings Settings) Result {
	f := &Fleet{
		Settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		requests: map[schedule.RequestID]*request{},
		cut:      map[int]bool{},
	}
	f.build()
	for f.queue.Len() > 0 && f.queue[0].at <= settings.Length {
		next := heap.Pop(&f.queue).(event)
		f.metrics.advance(f, next.at)
		f.now = next.at
		next.do()
	}
	return f.result()
}

func (f *Fleet) build() {
	f.metrics = newMetrics(len(f.Settings.Organisations))
	for i := range f.Settings.Routers {
		f.routers = append(f.routers, &router{
			index: i, id: view.RouterID(fmt.Sprintf("router%03d", i)), domain: i % domains, down: true,
		})
	}
	for i := range f.Settings.Endpoints {
		f.engines = append(f.engines, newEngine(f, i))
	}
	for _, r := range f.routers {
		f.Start(r.index)
	}
	for i := range f.Settings.Organisations {
		f.callers = append(f.callers, newCaller(f, i))
	}
	for _, fault := range f.Settings.Faults {
		f.after(fault.At, func() { fault.Do(f) })
	}
	for _, e := range f.engines {
		f.after(loadReportInterval, e.reportLoad)
	}
	f.after(sampleInterval, f.sample)
}

func (f *Fleet) after(d time.Duration, do func()) {
	f.lastSeq++
	heap.Push(&f.queue, event{f.now + d, f.lastSeq, do})
}

// currentTime returns the current instant of virtual time.
func (f *Fleet) currentTime() time.Time { return startTime.Add(f.now) }

// step passes an input to a router's scheduler and carries out the outputs. It
// does nothing if the router is down.
func (f *Fleet) step(r *router, in schedule.Input) {
	if r.down {
		return
	}
	outputs := append([]schedule.Output(nil), r.scheduler.Step(f.currentTime(), in)...)
	for _, out := range outputs {
		switch out := out.(type) {
		case schedule.Start:
			f.startRequest(r, out)
		case schedule.Refusal:
			f.handleRefusal(r, out)
		case schedule.Send:
			f.send(r, out)
		case schedule.Wake:
			f.setAlarm(r, out.At)
		}
	}
}

// setAlarm schedules an Alarm input for the router. It replaces an alarm that
// is still pending.
func (f *Fleet) setAlarm(r *router, at time.Time) {
	r.lastAlarm++
	alarm, incarnation := r.lastAlarm, r.incarnation
	f.after(max(0, at.Sub(f.currentTime())), func() {
		if r.lastAlarm == alarm && r.incarnation == incarnation {
			f.step(r, schedule.Alarm{})
		}
	})
}

func (f *Fleet) send(from *router, out schedule.Send) {
	f.metrics.countMessage(f, from.index, out.Message)
	for _, to := range f.routers {
		if to.id != out.To {
			continue
		}
		incarnation := to.incarnation
		f.after(f.Settings.Delay, func() {
			if to.incarnation == incarnation && f.connected(from, to) {
				f.step(to, schedule.Delivery{From: from.id, Message: out.Message})
			}
		})
	}
}

// connected reports whether messages between two routers are delivered.
func (f *Fleet) connected(a, b *router) bool {
	return a.domain == b.domain || !f.cut[a.domain] && !f.cut[b.domain]
}

// snapshot returns the router's present view of the fleet.
func (f *Fleet) snapshot(r *router) *view.Snapshot {
	s := &view.Snapshot{Self: r.id, Organisations: map[string]view.Organisation{}}
	for _, other := range f.routers {
		if !other.down && f.connected(r, other) {
			s.Routers = append(s.Routers, view.Router{ID: other.id, Incarnation: other.incarnation})
		}
	}
	for _, e := range f.engines {
		s.Endpoints = append(s.Endpoints, view.Endpoint{ID: e.id, Pool: e.Pool, Leaving: e.leaving})
	}
	for _, o := range f.Settings.Organisations {
		s.Organisations[o.Name] = view.Organisation{Name: o.Name, Weight: o.Weight}
	}
	return s
}

// PublishViews passes every router that is up its present view of the fleet.
func (f *Fleet) PublishViews() {
	for _, r := range f.routers {
		f.step(r, schedule.Change{View: f.snapshot(r)})
	}
}

// Start starts a router with empty state.
func (f *Fleet) Start(index int) {
	r := f.routers[index]
	r.incarnation++
	r.down = false
	r.scheduler = f.Settings.Policy(rand.NewPCG(f.Settings.Seed, uint64(index)<<32|r.incarnation))
	f.PublishViews()
}

// Kill stops a router. Its requests fail, and its callers send further
// requests to other routers. The views of the other routers change after
// viewDelay.
func (f *Fleet) Kill(index int, viewDelay time.Duration) {
	r := f.routers[index]
	r.down = true
	r.incarnation++
	f.dropRequests(r)
	f.after(viewDelay, f.PublishViews)
}

// Cut cuts a failure domain off from the others if cut is true, and ends the
// cut otherwise. The views change after viewDelay.
func (f *Fleet) Cut(domain int, cut bool, viewDelay time.Duration) {
	f.cut[domain] = cut
	f.after(viewDelay, f.PublishViews)
}

// Drain marks an endpoint as leaving.
func (f *Fleet) Drain(index int) {
	f.engines[index].leaving = true
	f.PublishViews()
}

func (f *Fleet) addViolation(format string, values ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, values...))
}
