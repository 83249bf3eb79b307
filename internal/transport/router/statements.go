package router

import (
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// MetricLeavingStatements counts the endpoints of which this router first learnt
	// from an answer that they leave.
	MetricLeavingStatements = "LeavingStatements"
	// MetricPauses counts the answers by which endpoints have asked for time.
	MetricPauses = "EndpointPauses"
)

// maxPause bounds the time that an endpoint may ask for. A longer one is more likely an
// error, such as milliseconds in place of seconds.
const maxPause = 5 * time.Minute

// EndpointLeaves records that an endpoint has stated, in the answer to the given
// request, that it leaves. When it returns, no attempt is sent to the endpoint any
// more; attempts that have been sent continue.
func (c *Core) EndpointLeaves(id view.EndpointID, requestID string) {
	// The statement is retained also if a list has stated it before: a later one may not.
	if !c.sources.recordLeaving(id) {
		return
	}
	c.sources.reportLeaving(id)
	metrics.GetOrRegisterCounter(MetricLeavingStatements, c.options.Registry).Inc(1)
	c.logger.WithFields(log.Fields{
		"Endpoint": id, "Source": "Answer", "RequestID": requestID, "EndpointsAge": c.sources.listAge(),
	}).Info("EndpointLeaving")
}

// PauseEndpoint records that an endpoint has asked, in the answer to the given request,
// to get no requests until the given instant, which is bounded by maxPause. When it
// returns, no attempt is sent to the endpoint before that instant.
func (c *Core) PauseEndpoint(id view.EndpointID, until time.Time, requestID string) {
	metrics.GetOrRegisterCounter(MetricPauses, c.options.Registry).Inc(1)
	now := time.Now()
	if latest := now.Add(maxPause); until.After(latest) {
		until = latest
	}
	if !c.pauses.add(now, id, until) {
		return
	}
	c.scheduling.Input(schedule.Pause{Endpoint: id, Until: until})
	c.logger.WithFields(log.Fields{
		"Endpoint": id, "Source": "Answer", "RequestID": requestID, "Until": until.Format(time.RFC3339Nano),
	}).Info("EndpointPaused")
}

// reopensAt returns the earliest instant at which an endpoint of the pool takes requests
// if all those that do not leave have asked for time, and zero otherwise.
func (c *Core) reopensAt(pool string) time.Time {
	now := time.Now()
	var earliest time.Time
	for _, e := range c.fleet.View().Endpoints {
		if e.Pool != pool || e.Leaving {
			continue
		}
		until := c.pauses.end(e.ID)
		if !now.Before(until) {
			return time.Time{}
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}

// pauses are the times during which endpoints have asked to get no requests.
type pauses struct {
	mu    sync.Mutex
	until map[view.EndpointID]time.Time // guarded by mu
}

// add records a pause. It returns false if the endpoint has asked for as much before.
func (p *pauses) add(now time.Time, id view.EndpointID, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.until, func(_ view.EndpointID, at time.Time) bool { return !now.Before(at) })
	if !until.After(p.until[id]) {
		return false
	}
	if p.until == nil {
		p.until = map[view.EndpointID]time.Time{}
	}
	p.until[id] = until
	return true
}

// paused reports whether the endpoint has asked to get no requests at present.
func (p *pauses) paused(id view.EndpointID, now time.Time) bool {
	return now.Before(p.end(id))
}

// end returns when the last pause of the endpoint ends; zero if it is unknown.
func (p *pauses) end(id view.EndpointID) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until[id]
}
