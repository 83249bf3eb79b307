package harness

import (
	"fmt"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// progressEvery is the distance of reports of service.
	progressEvery = 250 * time.Millisecond
	// loadEvery is the distance of an endpoint's words about itself, and
	// loadLag the time that they take.
	loadEvery = time.Second
	loadLag   = 300 * time.Millisecond
)

// Endpoint describes a stand-in for an endpoint.
type Endpoint struct {
	Pool string
	// Slots is the number of requests that it runs at once; others queue.
	Slots int
	// Rate is the service that one request receives, in units a second.
	Rate float64
	// FirstToken is the time to first token; zero for a plain service.
	FirstToken time.Duration
	// Silent endpoints say nothing of their load.
	Silent bool
}

// engine runs requests.
type engine struct {
	Endpoint
	fleet   *Fleet
	index   int
	id      view.EndpointID
	running int
	queued  []*request
	leaving bool
}

func newEngine(f *Fleet, index int) *engine {
	e := f.Settings.Endpoints[index]
	return &engine{Endpoint: e, fleet: f, index: index, id: view.EndpointID(fmt.Sprintf("endpoint%03d", index))}
}

// take admits a request or queues it.
func (e *engine) take(r *request) {
	r.engine = e
	r.sentAt = e.fleet.now
	if e.running >= e.Slots {
		e.queued = append(e.queued, r)
		return
	}
	e.run(r)
}

func (e *engine) run(r *request) {
	e.running++
	r.runs = true
	e.fleet.after(e.FirstToken, func() { e.stream(r, true) })
}

// stream gives the request its next portion of service.
func (e *engine) stream(r *request, first bool) {
	if r.gone {
		return
	}
	if first && e.FirstToken > 0 {
		e.fleet.step(r.router, schedule.Progress{ID: r.id, FirstToken: e.fleet.now - r.sentAt})
	}
	portion := min(r.cost-r.received, e.Rate*progressEvery.Seconds())
	d := time.Duration(portion / e.Rate * float64(time.Second))
	e.fleet.after(d, func() {
		if r.gone {
			return
		}
		r.received += portion
		e.fleet.measure.serve(r.caller.index, portion)
		if r.received >= r.cost {
			e.finish(r, portion)
			return
		}
		e.fleet.step(r.router, schedule.Progress{ID: r.id, Service: portion})
		e.stream(r, false)
	})
}

func (e *engine) finish(r *request, portion float64) {
	e.leave(r)
	f := e.fleet
	delete(f.requests, r.id)
	f.step(r.router, schedule.Completion{
		ID: r.id, Result: schedule.ResultFinished, Service: portion, Elapsed: f.now - r.sentAt,
	})
}

// leave frees the request's slot.
func (e *engine) leave(r *request) {
	r.gone = true
	if !r.runs {
		for i, other := range e.queued {
			if other == r {
				e.queued = append(e.queued[:i], e.queued[i+1:]...)
				return
			}
		}
		return
	}
	e.running--
	if len(e.queued) > 0 {
		next := e.queued[0]
		e.queued = e.queued[1:]
		e.run(next)
	}
}

// report tells all routers of the load, late.
func (e *engine) report() {
	if e.Silent {
		return
	}
	f := e.fleet
	l := schedule.Load{Endpoint: e.id, Running: e.running, Queued: len(e.queued), MeasuredAt: f.clock()}
	f.after(loadLag, func() {
		for _, r := range f.routers {
			f.step(r, l)
		}
	})
	f.after(loadEvery, e.report)
}
