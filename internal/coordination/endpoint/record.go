package endpoint

import (
	"slices"
	"time"

	"hyssopreach/internal/state/view"
)

// record is what is known of one endpoint of the text.
type record struct {
	configured Configured
	// id and started are of the newest known start; zero while none is known.
	id      view.EndpointID
	started time.Time
	// asOf is the instant of the last change of what peers are told.
	asOf   time.Time
	facts  facts
	health health
	// goneAsOf is of the list from which facts.gone was learnt.
	goneAsOf time.Time
	// polled is when the last poll was asked for; zero asks for one at once.
	polled time.Time
	owned  ownership
}

// ownership is whether this router polls the endpoint, in a view and under a
// key.
type ownership struct {
	view *view.Snapshot
	key  string
	mine bool
}

// facts are what routers tell each other about a start.
type facts struct {
	leaving bool
	gone    bool
	models  []string
	// ejectedUntil is the judgement of the routers that poll the endpoint.
	ejectedUntil time.Time
}

func (f *facts) equal(other *facts) bool {
	return f.leaving == other.leaving && f.gone == other.gone &&
		f.ejectedUntil.Equal(other.ejectedUntil) && slices.Equal(f.models, other.models)
}

// begin starts a new life of the endpoint; it returns false if the start is
// not newer.
func (r *record) begin(started time.Time) bool {
	// Identities carry milliseconds, so that is how starts are compared.
	started = started.Truncate(time.Millisecond)
	if !started.After(r.started) {
		return false
	}
	r.id, r.started = NewID(r.configured.Key, started), started
	r.facts.leaving, r.facts.models, r.facts.ejectedUntil = false, nil, time.Time{}
	r.health, r.asOf = health{}, time.Time{}
	return true
}

// ejectedUntil is the later of this router's judgement and that of the
// routers that poll the endpoint.
func (r *record) ejectedUntil() time.Time {
	if r.health.ejectedUntil.After(r.facts.ejectedUntil) {
		return r.health.ejectedUntil
	}
	return r.facts.ejectedUntil
}

// state is what peers are told of the record.
func (r *record) state() State {
	return State{
		ID: r.id, Leaving: r.facts.leaving, Gone: r.facts.gone, Models: r.facts.models,
		EjectedUntil: r.facts.ejectedUntil, AsOf: r.asOf,
	}
}

// shown is the record as decisions see it.
func (r *record) shown() view.Endpoint {
	c := &r.configured
	return view.Endpoint{
		ID: r.id, Pool: c.Pool, VM: c.VM, FailureDomain: c.FailureDomain, Address: c.Address,
		Models: r.facts.models, Leaving: r.facts.leaving || r.facts.gone, EjectedUntil: r.ejectedUntil(),
	}
}
