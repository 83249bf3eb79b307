package router

import (
	"slices"

	"github.com/apex/log"

	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/view"
)

// setTable sets the configuration of a hosted router and publishes the data that
// schedulers need from it.
func (f *fleet) setTable(t *route.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
	f.publish()
}

// setListed replaces the endpoints if they have changed, and logs each endpoint
// that was added, that was removed, or whose Leaving field has changed.
func (f *fleet) setListed(endpoints []view.Endpoint, logger log.Interface) {
	before := f.listed()
	if slices.EqualFunc(before, endpoints, sameEndpoint) {
		return
	}
	f.setEndpoints(endpoints)
	for i := range endpoints {
		e := &endpoints[i]
		at := slices.IndexFunc(before, func(o view.Endpoint) bool { return o.ID == e.ID })
		if at < 0 || before[at].Leaving != e.Leaving {
			logger.WithFields(log.Fields{"Endpoint": e.ID, "Pool": e.Pool, "Address": e.Address, "Leaving": e.Leaving}).Info("EndpointListed")
		}
	}
	for i := range before {
		id := before[i].ID
		if !slices.ContainsFunc(endpoints, func(o view.Endpoint) bool { return o.ID == id }) {
			logger.WithField("Endpoint", id).Info("EndpointGone")
		}
	}
}

// listed returns the endpoints as they were set, without what evacuations change.
func (f *fleet) listed() []view.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints
}

// setEvacuated replaces the evacuated failure domains, which must not be modified
// afterwards. What runs at their endpoints continues, as at others that leave.
func (f *fleet) setEvacuated(domains []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = domains
	f.publish()
}

// withEvacuated marks the endpoints of evacuated failure domains in a snapshot as leaving.
// It requires that mu is held.
func (f *fleet) withEvacuated(s *view.Snapshot) {
	if len(f.evacuated) == 0 {
		return
	}
	s.Evacuated = f.evacuated
	s.Endpoints = slices.Clone(s.Endpoints)
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		e.Leaving = e.Leaving || slices.Contains(s.Evacuated, e.FailureDomain)
	}
}

// setLeaving marks an endpoint as leaving. It returns false if the endpoint is not
// listed, or known to leave.
func (f *fleet) setLeaving(id view.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := slices.IndexFunc(f.endpoints, func(e view.Endpoint) bool { return e.ID == id })
	if at < 0 || f.endpoints[at].Leaving {
		return false
	}
	// Snapshots refer to the present slice.
	f.endpoints = slices.Clone(f.endpoints)
	f.endpoints[at].Leaving = true
	f.publish()
	return true
}

func sameEndpoint(a, b view.Endpoint) bool {
	return a.ID == b.ID && a.Pool == b.Pool && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Leaving == b.Leaving && a.ColdUntil.Equal(b.ColdUntil)
}

// withTable adds the data of the table of routes, if there is one, to a
// snapshot. It requires that mu is held.
func (f *fleet) withTable(s *view.Snapshot) {
	if f.table == nil {
		return
	}
	s.Revision = f.table.Version
	s.Pools = make(map[string]view.Pool, len(f.table.Services))
	for name, service := range f.table.Services {
		s.Pools[name] = service.Pool()
	}
	s.Endpoints = slices.Clone(s.Endpoints)
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		service := f.table.Services[e.Pool]
		if service.Slots > 0 {
			e.Slots = service.Slots
		}
		e.MemoryTokens = service.MemoryTokens
	}
}
