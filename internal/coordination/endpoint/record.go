package endpoint

import (
	"slices"
	"time"

	"hyssopreach/internal/state/view"
)

// record is the state of one configured endpoint.
type record struct {
	configured Configured
	// id and started describe the newest known start; zero while none is known.
	id      view.EndpointID
	started time.Time
	// asOf is the instant of the last change of the shared state.
	asOf   time.Time
	shared sharedState
	health health
	// goneAsOf is the instant of the VM list that shared.gone comes from.
	goneAsOf time.Time
	// polledAt is when the last poll was requested; zero requests a poll at
	// once.
	polledAt time.Time
	lookup   pollerLookup
}

// pollerLookup caches whether this router polls the endpoint. It is valid for
// one view and one key.
type pollerLookup struct {
	view     *view.Snapshot
	key      string
	isPoller bool
}

// sharedState is the state of a start that routers send to each other.
type sharedState struct {
	leaving bool
	gone    bool
	models  []string
	// ejectedUntil is the ejection decided by the endpoint's pollers.
	ejectedUntil time.Time
}

func (f *sharedState) equal(other *sharedState) bool {
	return f.leaving == other.leaving && f.gone == other.gone &&
		f.ejectedUntil.Equal(other.ejectedUntil) && slices.Equal(f.models, other.models)
}

// setStart resets the record for a new start of the endpoint. It returns false
// if the start is not newer.
func (r *record) setStart(started time.Time) bool {
	// Identities contain the start in milliseconds, so starts are compared in
	// milliseconds.
	started = started.Truncate(time.Millisecond)
	if !started.After(r.started) {
		return false
	}
	r.id, r.started = NewID(r.configured.Key, started), started
	r.shared.leaving, r.shared.models, r.shared.ejectedUntil = false, nil, time.Time{}
	r.health, r.asOf = health{}, time.Time{}
	return true
}

// ejectedUntil returns the later end of the ejections decided by this router
// and by the endpoint's pollers.
func (r *record) ejectedUntil() time.Time {
	if r.health.ejectedUntil.After(r.shared.ejectedUntil) {
		return r.health.ejectedUntil
	}
	return r.shared.ejectedUntil
}

// state returns the record as it is sent to other routers.
func (r *record) state() State {
	return State{
		ID: r.id, Leaving: r.shared.leaving, Gone: r.shared.gone, Models: r.shared.models,
		EjectedUntil: r.shared.ejectedUntil, AsOf: r.asOf,
	}
}

// viewEndpoint returns the record as an endpoint of the view.
func (r *record) viewEndpoint() view.Endpoint {
	c := &r.configured
	return view.Endpoint{
		ID: r.id, Pool: c.Pool, VM: c.VM, FailureDomain: c.FailureDomain, Address: c.Address,
		Models: r.shared.models, Leaving: r.shared.leaving || r.shared.gone, EjectedUntil: r.ejectedUntil(),
	}
}
