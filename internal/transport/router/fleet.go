package router

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// fleet owns this router's state of the fleet, which is its routers, endpoints
// and configuration, and publishes immutable snapshots of it.
type fleet struct {
	self view.RouterID

	mu        sync.Mutex
	routers   []view.Router            // guarded by mu
	endpoints []view.Endpoint          // guarded by mu
	inForce   revision.Configuration   // guarded by mu
	inForceAt time.Time                // guarded by mu
	watchers  []func(s *view.Snapshot) // guarded by mu
	// table is the configuration of a hosted router, nil in any other. Guarded
	// by mu.
	table *route.Table
	// withdrawn holds, by endpoint, the models for which the endpoint gets no
	// new requests.
	withdrawn map[view.EndpointID]withdrawal // guarded by mu
	// evacuated names the failure domains whose endpoints get no new requests, sorted.
	// Guarded by mu.
	evacuated []string

	snapshot atomic.Pointer[view.Snapshot]
	index    atomic.Pointer[text.Index]
}

func newFleet(self view.Router) *fleet {
	f := &fleet{self: self.ID, routers: []view.Router{self}}
	f.snapshot.Store(&view.Snapshot{Self: self.ID, Routers: f.routers})
	return f
}

// View returns the latest snapshot.
func (f *fleet) View() *view.Snapshot { return f.snapshot.Load() }

// Index returns the operators' text in force; nil before the first one.
func (f *fleet) Index() *text.Index { return f.index.Load() }

// watch registers a callback that is called with each new snapshot, in order,
// and calls it with the current snapshot at once. The callback runs while the
// fleet is locked and must not change the fleet.
func (f *fleet) watch(callback func(s *view.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers = append(f.watchers, callback)
	callback(f.snapshot.Load())
}

func (f *fleet) setRouters(routers []view.Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers = sortedRouters(routers)
	f.publish()
}

func (f *fleet) setEndpoints(endpoints []view.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = slices.Clone(endpoints)
	slices.SortFunc(f.endpoints, func(a, b view.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	f.publish()
}

func (f *fleet) setConfiguration(c revision.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce, f.inForceAt = c, time.Now()
	f.index.Store(text.NewIndex(c.Document))
	f.publish()
}

// InForceSince returns the instant at which the operators' text came into force
// here.
func (f *fleet) InForceSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForceAt
}

func (f *fleet) configuration() revision.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce
}

// publish stores a new snapshot and calls the watchers with it. It requires that
// mu is held.
func (f *fleet) publish() {
	s := &view.Snapshot{
		Self: f.self, Routers: f.routers, Endpoints: f.withoutWithdrawn(time.Now()),
		Organisations: organisations(f.inForce.Document), Revision: f.inForce.Revision,
	}
	f.withTable(s)
	f.withEvacuated(s)
	f.snapshot.Store(s)
	for _, callback := range f.watchers {
		callback(s)
	}
}

func sortedRouters(routers []view.Router) []view.Router {
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b view.Router) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return sorted
}

func organisations(doc *text.Document) map[string]view.Organisation {
	if doc == nil {
		return nil
	}
	byName := make(map[string]view.Organisation, len(doc.Organisations))
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		byName[o.Name] = view.Organisation{
			Name: o.Name, Weight: o.Weight, MaxWaiting: o.MaxWaiting, MaxWaitingBytes: o.MaxWaitingBytes,
		}
	}
	return byName
}

// withdrawal keeps new requests for some models away from an endpoint until an
// instant.
type withdrawal struct {
	models []string
	until  time.Time
}

// withdraw sets the models for which an endpoint gets no new requests until the
// given instant. An empty list ends an earlier withdrawal.
func (f *fleet) withdraw(id view.EndpointID, models []string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.withdrawn, id)
	if len(models) > 0 {
		if f.withdrawn == nil {
			f.withdrawn = map[view.EndpointID]withdrawal{}
		}
		f.withdrawn[id] = withdrawal{models, until}
	}
	f.publish()
}

// expire publishes a snapshot if the time of a withdrawal has passed. This ends
// the expired withdrawals of the endpoints in the fleet.
func (f *fleet) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.withdrawn {
		if !now.Before(w.until) {
			f.publish()
			return
		}
	}
}

// withoutWithdrawn returns the endpoints without the models that are withdrawn
// from them, and deletes the expired withdrawals of these endpoints. It requires
// that mu is held.
func (f *fleet) withoutWithdrawn(now time.Time) []view.Endpoint {
	if len(f.withdrawn) == 0 {
		return f.endpoints
	}
	all := slices.Clone(f.endpoints)
	for i := range all {
		w, ok := f.withdrawn[all[i].ID]
		if !ok || !now.Before(w.until) {
			delete(f.withdrawn, all[i].ID)
			continue
		}
		all[i].Models = slices.DeleteFunc(slices.Clone(all[i].Models), func(name string) bool {
			base, _, _ := strings.Cut(name, ":")
			return slices.Contains(w.models, base)
		})
	}
	return all
}
