package harness

import (
	"fmt"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// progressInterval is the interval of the Progress inputs of a request.
	progressInterval = 250 * time.Millisecond
	// loadReportInterval is the interval of an endpoint's load reports, and
	// loadReportDelay the time until the routers receive them.
	loadReportInterval = time.Second
	loadReportDelay    = 300 * time.Millisecond
)

// Endpoint describes a simulated endpoint.
type Endpoint struct {
	Pool string
	// Slots is the number of requests that run concurrently; further requests
	// are queued.
	Slots int
	// Rate is the service that one request receives, in units per second.
	Rate float64
	// FirstToken is the time to first token. It is zero for a plain service.
	FirstToken time.Duration
	// NoLoadReports is set for an endpoint that does not report its load.
	NoLoadReports bool
}

// engine is a simulated endpoint that runs requests.
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

// admit starts a request if a slot is free, and queues it otherwise.
func (e *engine) admit(r *request) {
	r.engine = e
	r.sentAt = e.fleet.now
	if e.running >= e.Slots {
		e.queued = append(e.queued, r)
		return
	}
	e.startRunning(r)
}

func (e *engine) startRunning(r *request) {
	e.running++
	r.running = true
	e.fleet.after(e.FirstToken, func() { e.serve(r, true) })
}

// serve gives the request its next portion of service. Before the first portion,
// it reports the time to first token, if any, to the scheduler.
func (e *engine) serve(r *request, first bool) {
	if r.ended {
		return
	}
	if first && e.FirstToken > 0 {
		e.fleet.step(r.router, schedule.Progress{ID: r.id, FirstToken: e.fleet.now - r.sentAt})
	}
	portion := min(r.cost-r.served, e.Rate*progressInterval.Seconds())
	d := time.Duration(portion / e.Rate * float64(time.Second))
	e.fleet.after(d, func() {
		if r.ended {
			return
		}
		r.served += portion
		e.fleet.metrics.addService(r.caller.index, portion)
		if r.served >= r.cost {
			e.finish(r, portion)
			return
		}
		e.fleet.step(r.router, schedule.Progress{ID: r.id, Service: portion})
		e.serve(r, false)
	})
}

func (e *engine) finish(r *request, portion float64) {
	e.release(r)
	f := e.fleet
	delete(f.requests, r.id)
	f.step(r.router, schedule.Completion{
		ID: r.id, Result: schedule.ResultFinished, Service: portion, Elapsed: f.now - r.sentAt,
	})
}

// release ends a request. It removes the request from the queue, or frees its
// slot for the next queued request.
func (e *engine) release(r *request) {
	r.ended = true
	if !r.running {
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
		e.startRunning(next)
	}
}

// reportLoad sends the load to all routers, with the delay loadReportDelay,
// and schedules the next report.
func (e *engine) reportLoad() {
	if e.NoLoadReports {
		return
	}
	f := e.fleet
	l := schedule.Load{Endpoint: e.id, Running: e.running, Queued: len(e.queued), MeasuredAt: f.currentTime()}
	f.after(loadReportDelay, func() {
		for _, r := range f.routers {
			f.step(r, l)
		}
	})
	f.after(loadReportInterval, e.reportLoad)
}
