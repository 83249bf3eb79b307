package router

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/recovery"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/view"
)

const (
	// MetricColdPermits counts the requests that were started at cold endpoints.
	MetricColdPermits = "ColdPermits"
	// MetricColdRefusals counts the requests that were refused because only cold endpoints
	// without a permit were left.
	MetricColdRefusals = "ColdRefusals"
	// MetricColdEndpoints is the number of cold endpoints.
	MetricColdEndpoints = "ColdEndpoints"
)

// recoveryCounters returns counters that the registry reads.
func recoveryCounters(r metrics.Registry) *recovery.Counters {
	c := &recovery.Counters{}
	if r == nil {
		r = metrics.DefaultRegistry
	}
	for name, value := range map[string]func() int64{
		MetricColdPermits: c.Granted.Load, MetricColdRefusals: c.Refused.Load, MetricColdEndpoints: c.Cold.Load,
	} {
		r.Unregister(name) // of an earlier router of this process
		metrics.NewRegisteredFunctionalGauge(name, r, value)
	}
	return c
}

// logMalformedRates logs the services whose rate at cold endpoints is no number. They are
// taken to have no cold endpoints.
func logMalformedRates(logger log.Interface, t *route.Table) {
	for name, s := range t.Services {
		if s.ColdPerSecond < 0 {
			logger.WithFields(log.Fields{"Service": name, "Version": t.Version}).Warn("ColdRateMalformed")
		}
	}
}

// markListed sets the end of the cold times of the listed endpoints by a configuration that
// is about to be in force: those that were listed before are else not cold until the next
// list. It requires that mu is held.
func (s *sources) markListed(r *readings) {
	listed := slices.Clone(s.router.fleet.View().Endpoints)
	s.table.MarkCold(time.Now(), listed, r.pool)
	until := make(map[view.EndpointID]time.Time, len(listed))
	for i := range listed {
		until[listed[i].ID] = listed[i].ColdUntil
	}
	s.router.fleet.setCold(until)
}

// PermitHolds reports whether an attempt may still be sent as far as the limit on requests
// to cold endpoints is concerned: sendBy, which is set for one with a permit, has not
// passed, or the endpoint is not cold. An attempt may wait for a connection, or its router
// may be stopped, after its start. It is asked right before the first byte is written.
func (c *Core) PermitHolds(now time.Time, id view.EndpointID, sendBy time.Time) bool {
	if !sendBy.IsZero() {
		return !now.After(sendBy)
	}
	v := c.fleet.View()
	e, ok := v.Endpoint(id)
	return !ok || v.Pools[e.Pool].ColdPerSecond <= 0 || !now.Before(e.ColdUntil)
}

// EndpointCold records how much longer an endpoint stays cold, which it has stated in an
// answer that has just arrived. It changes nothing for services without cold endpoints.
func (c *Core) EndpointCold(id view.EndpointID, left time.Duration) {
	s := c.sources
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, changed := s.table.RecordCold(time.Now(), id, left); changed {
		s.router.fleet.setCold(map[view.EndpointID]time.Time{id: until})
	}
}

// setCold sets the ends of the cold times of endpoints, of those that are listed.
func (f *fleet) setCold(until map[view.EndpointID]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Snapshots refer to the present slice.
	endpoints, changed := slices.Clone(f.endpoints), false
	for i := range endpoints {
		e := &endpoints[i]
		if at, ok := until[e.ID]; ok && !e.ColdUntil.Equal(at) {
			e.ColdUntil, changed = at, true
		}
	}
	if changed {
		f.endpoints = endpoints
		f.publish()
	}
}
