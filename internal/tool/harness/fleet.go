package harness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// Policy makes the scheduler of one router.
type Policy func(source rand.Source) schedule.Scheduler

// Settings describe a fleet and its load.
type Settings struct {
	Seed          uint64
	Routers       int
	Endpoints     []Endpoint
	Organisations []Organisation
	// Delay is the time that a message takes between two routers.
	Delay time.Duration
	// Warm is the time before figures are taken, Length that of the scene.
	Warm, Length time.Duration
	Policy       Policy
	// Size gives the bytes of a message on the wire; nil counts none.
	Size func(schedule.Message) int
	// Faults happen at their instants.
	Faults []Fault
}

// Organisation is a caller of the fleet.
type Organisation struct {
	Name   string
	Weight float64
	// Routers are where it connects, by index.
	Routers []int
	// Backlog is the number of requests that it keeps waiting.
	Backlog int
	// Costs are drawn between Least and Most, in units of service.
	Least, Most float64
	// Every is the distance of requests at which it arrives beside the
	// backlog; zero for none. Urgent tells their urgency.
	Every  time.Duration
	Urgent int
}

// Fault changes the fleet at an instant.
type Fault struct {
	At   time.Duration
	Name string
	Do   func(f *Fleet)
}

// event is something that happens at an instant.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

// Len is the number of events.
func (e events) Len() int { return len(e) }

// Less orders by instant, then by the order of scheduling.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// router is one router with its scheduler.
type router struct {
	index  int
	id     view.RouterID
	policy schedule.Scheduler
	// start counts the router's starts; callbacks of earlier ones are void.
	start  uint64
	down   bool
	domain int
	wake   uint64
}

// Fleet is a running scene.
type Fleet struct {
	Settings Settings
	now      time.Duration
	queue    events
	order    uint64
	random   *rand.Rand
	routers  []*router
	engines  []*engine
	callers  []*caller
	requests map[schedule.RequestID]*request
	lastID   schedule.RequestID
	cut      map[int]bool // failure domains that are cut off
	measure  measure
	// faulty counts broken promises of the schedulers.
	faulty []string
}

// origin is the instant at which every scene starts.
var origin = time.Unix(1_700_000_000, 0)

// domains is the number of failure domains.
const domains = 3

// Run plays a scene and returns its figures.
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
		f.measure.advance(f, next.at)
		f.now = next.at
		next.do()
	}
	return f.result()
}

func (f *Fleet) build() {
	f.measure = newMeasure(len(f.Settings.Organisations))
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
		f.after(loadEvery, e.report)
	}
	f.after(sampleEvery, f.sample)
}

func (f *Fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{f.now + d, f.order, do})
}

// clock is the present instant.
func (f *Fleet) clock() time.Time { return origin.Add(f.now) }

// step gives a router an input and carries out what its scheduler asks for.
func (f *Fleet) step(r *router, in schedule.Input) {
	if r.down {
		return
	}
	outputs := append([]schedule.Output(nil), r.policy.Step(f.clock(), in)...)
	for _, out := range outputs {
		switch out := out.(type) {
		case schedule.Start:
			f.begin(r, out)
		case schedule.Refusal:
			f.refused(r, out)
		case schedule.Send:
			f.send(r, out)
		case schedule.Wake:
			f.alarm(r, out.At)
		}
	}
}

func (f *Fleet) alarm(r *router, at time.Time) {
	r.wake++
	wake, start := r.wake, r.start
	f.after(max(0, at.Sub(f.clock())), func() {
		if r.wake == wake && r.start == start {
			f.step(r, schedule.Alarm{})
		}
	})
}

func (f *Fleet) send(from *router, out schedule.Send) {
	f.measure.sent(f, from.index, out.Message)
	for _, to := range f.routers {
		if to.id != out.To {
			continue
		}
		start := to.start
		f.after(f.Settings.Delay, func() {
			if to.start == start && f.linked(from, to) {
				f.step(to, schedule.Delivery{From: from.id, Message: out.Message})
			}
		})
	}
}

// linked reports whether two routers hear each other.
func (f *Fleet) linked(a, b *router) bool {
	return a.domain == b.domain || !f.cut[a.domain] && !f.cut[b.domain]
}

// snapshot is the fleet as the router sees it.
func (f *Fleet) snapshot(r *router) *view.Snapshot {
	s := &view.Snapshot{Self: r.id, Organisations: map[string]view.Organisation{}}
	for _, other := range f.routers {
		if !other.down && f.linked(r, other) {
			s.Routers = append(s.Routers, view.Router{ID: other.id, Incarnation: other.start})
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

// Spread gives every router the present view.
func (f *Fleet) Spread() {
	for _, r := range f.routers {
		f.step(r, schedule.Change{View: f.snapshot(r)})
	}
}

// Start starts a router with empty state.
func (f *Fleet) Start(index int) {
	r := f.routers[index]
	r.start++
	r.down = false
	r.policy = f.Settings.Policy(rand.NewPCG(f.Settings.Seed, uint64(index)<<32|r.start))
	f.Spread()
}

// Kill ends a router; its requests break off, and its callers turn to the
// next router. The others see it gone after the delay.
func (f *Fleet) Kill(index int, seen time.Duration) {
	r := f.routers[index]
	r.down = true
	r.start++
	f.abandon(r)
	f.after(seen, f.Spread)
}

// Cut parts a failure domain from the others; the views follow after seen.
func (f *Fleet) Cut(domain int, cut bool, seen time.Duration) {
	f.cut[domain] = cut
	f.after(seen, f.Spread)
}

// Drain marks an endpoint as leaving.
func (f *Fleet) Drain(index int) {
	f.engines[index].leaving = true
	f.Spread()
}

func (f *Fleet) fault(format string, values ...any) {
	f.faulty = append(f.faulty, fmt.Sprintf(format, values...))
}
