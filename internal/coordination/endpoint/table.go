package endpoint

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// pollInterval is the time between two polls of an endpoint.
	pollInterval = 500 * time.Millisecond
	// failedPollInterval is the time between two polls of an endpoint that has
	// just failed.
	failedPollInterval = 100 * time.Millisecond
	// searchInterval is the time between two polls of an endpoint without a
	// known start by a router that is not one of its pollers.
	searchInterval = 5 * time.Second
	// never is the poll interval of an endpoint that this router does not poll.
	never = time.Duration(math.MaxInt64)
	// pollersPerEndpoint is the number of routers that poll an endpoint.
	pollersPerEndpoint = 2
	// listInterval is the minimum time between two reads of the VM list by one
	// router.
	listInterval = 500 * time.Millisecond
	// listIntervalPerRouter is the mean time between two reads of the VM list
	// by any router of a large fleet. It bounds the reads of the whole fleet.
	listIntervalPerRouter = 20 * time.Millisecond
)

// Table is the endpoint table of one router.
type Table struct {
	random  *rand.Rand
	records map[string]*record
	// keys are the keys of the records, sorted, so that equal inputs lead to
	// equal outputs.
	keys       []string
	view       *view.Snapshot
	list       list
	listReadAt time.Time
	updates    updateQueue
	// dirty is set if the table may differ from the last Changed.
	dirty bool
	out   []Output
}

// New returns an empty table that takes its random numbers from random.
func New(random *rand.Rand) *Table {
	return &Table{
		random:  random,
		records: make(map[string]*record),
		view:    &view.Snapshot{},
		updates: updateQueue{changedAt: make(map[string]time.Time)},
	}
}

// Step processes one input at the given instant and returns the outputs to
// carry out. The returned slice is valid until the next Step.
func (t *Table) Step(now time.Time, in Input) []Output {
	t.out = t.out[:0]
	switch in := in.(type) {
	case Configuration:
		t.configure(in)
	case Routers:
		t.view = in.View
	case List:
		t.replaceList(now, in)
	case Report:
		t.report(now, in)
	case PollFailed:
		if r := t.records[in.Key]; r != nil {
			t.observe(now, r, func() { t.recordFailure(now, r, true) })
		}
	case Outcome:
		t.outcome(now, in)
	case Delivery:
		t.receive(now, in)
	case Tick:
		t.tick(now)
	}
	if t.dirty {
		t.dirty = false
		t.emitChanged()
	}
	return t.out
}

func (t *Table) configure(in Configuration) {
	updated := make(map[string]*record, len(in.Endpoints))
	t.keys = t.keys[:0]
	for _, c := range in.Endpoints {
		r := t.records[c.Key]
		if r == nil || r.configured.Address != c.Address {
			r = &record{}
		}
		r.configured = c
		t.list.applyTo(r)
		updated[c.Key] = r
		t.keys = append(t.keys, c.Key)
	}
	slices.Sort(t.keys)
	t.records = updated
	t.dirty = true
}

// report applies an endpoint's answer to a poll.
func (t *Table) report(now time.Time, in Report) {
	r := t.records[in.Key]
	if r == nil || in.Started.Truncate(time.Millisecond).Before(r.started) {
		return
	}
	t.observe(now, r, func() {
		t.setStart(r, in.Started)
		t.list.applyTo(r)
		r.shared.leaving = r.shared.leaving || in.Leaving
		if in.Models == nil {
			in.Models = r.configured.Models
		}
		r.shared.models = slices.Clone(in.Models)
		slices.Sort(r.shared.models)
		t.recordSuccess(now, r, true)
	})
}

// setStart resets the record if the start is newer.
func (t *Table) setStart(r *record, started time.Time) {
	first := r.id == ""
	if !r.setStart(started) {
		return
	}
	t.dirty = true
	if first {
		t.logDecision("EndpointFound", r)
	} else {
		t.logDecision("EndpointRestarted", r)
	}
}

func (t *Table) outcome(now time.Time, in Outcome) {
	key, _, _ := ParseID(in.ID)
	r := t.records[key]
	if r == nil || r.id != in.ID {
		return
	}
	t.observe(now, r, func() {
		if in.Failed {
			t.recordFailure(now, r, false)
		} else {
			t.recordSuccess(now, r, false)
		}
	})
}

// observe applies an observation of this router, and queues the endpoint for
// sending if its shared state changes.
func (t *Table) observe(now time.Time, r *record, apply func()) {
	id, before, ejected := r.id, r.shared, r.ejectedUntil()
	apply()
	if !r.ejectedUntil().Equal(ejected) {
		t.dirty = true
	}
	if r.id == id && r.shared.equal(&before) {
		return
	}
	t.dirty = true
	r.asOf = now
	t.updates.add(now, r.configured.Key)
	if r.shared.leaving && !before.leaving {
		t.logDecision("EndpointLeaving", r)
	}
}

func (t *Table) tick(now time.Time) {
	for _, key := range t.keys {
		t.poll(now, t.records[key])
	}
	wait := max(listInterval, time.Duration(len(t.view.Routers))*listIntervalPerRouter)
	if now.Sub(t.listReadAt) >= wait {
		t.listReadAt = now
		t.emit(ReadList{})
	}
	t.sendUpdates(now)
}

// poll requests a poll of the endpoint if one is due.
func (t *Table) poll(now time.Time, r *record) {
	if now.Sub(r.polledAt) < t.pollDelay(now, r) {
		return
	}
	r.polledAt = now
	t.emit(Poll{r.configured.Key, r.configured.Address, r.configured.Engine})
}

// pollDelay returns the time between two polls of the endpoint by this router.
// All routers poll an endpoint whose start is not known, but those that are not
// its pollers do so only every searchInterval.
func (t *Table) pollDelay(now time.Time, r *record) time.Duration {
	switch {
	case r.health.probing && r.health.failures > 0 && r.id != "" && !now.Before(r.health.ejectedUntil):
		return failedPollInterval
	case r.health.probing && r.id != "", t.isPoller(r):
		return pollInterval
	case r.id == "":
		return searchInterval
	}
	return never
}

// isPoller reports whether this router is one of the endpoint's pollers. The
// first of the pollers is also its dispatcher, the router that grants its slots.
// The result is cached until the view or the endpoint's identity changes,
// because computing it takes one hash per router.
func (t *Table) isPoller(r *record) bool {
	key := string(r.id)
	if key == "" {
		key = r.configured.Key
	}
	if r.lookup.view != t.view || r.lookup.key != key {
		found := slices.Contains(t.view.Owners(key, pollersPerEndpoint), t.view.Self)
		r.lookup = pollerLookup{t.view, key, found}
	}
	return r.lookup.isPoller
}

// emitChanged emits the table, without the endpoints whose start is not known.
func (t *Table) emitChanged() {
	endpoints := make([]view.Endpoint, 0, len(t.records))
	for _, key := range t.keys {
		if r := t.records[key]; r.id != "" {
			endpoints = append(endpoints, r.viewEndpoint())
		}
	}
	slices.SortFunc(endpoints, func(a, b view.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	t.emit(Changed{endpoints})
}

func (t *Table) emit(o Output) { t.out = append(t.out, o) }

func (t *Table) logDecision(event string, r *record, fields ...string) {
	t.emit(Decision{event, append([]string{"Endpoint", string(r.id)}, fields...)})
}
