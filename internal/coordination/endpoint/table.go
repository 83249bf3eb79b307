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
	// pollAgain is the time between polls of an endpoint that has just failed.
	pollAgain = 100 * time.Millisecond
	// searchInterval is the time between polls of an endpoint that nobody has
	// found, by a router that leaves it to others.
	searchInterval = 5 * time.Second
	// never is longer than any router lives.
	never = time.Duration(math.MaxInt64)
	// pollers is the number of routers that poll an endpoint.
	pollers = 2
	// listInterval is the shortest time between two reads of the VM list.
	listInterval = 500 * time.Millisecond
	// listIntervalPerRouter bounds the reads of the whole fleet: one in this
	// time, spread over all routers.
	listIntervalPerRouter = 20 * time.Millisecond
)

// Table is the endpoint table of one router.
type Table struct {
	random  *rand.Rand
	records map[string]*record
	// keys are those of the records, sorted, so that equal inputs lead to
	// equal outputs.
	keys   []string
	view   *view.Snapshot
	list   list
	readAt time.Time
	news   newsQueue
	// dirty is set if the table may differ from the last Changed.
	dirty bool
	out   []Output
}

// New returns an empty table whose random numbers come from the source.
func New(random *rand.Rand) *Table {
	return &Table{
		random:  random,
		records: make(map[string]*record),
		view:    &view.Snapshot{},
		news:    newsQueue{changed: make(map[string]time.Time)},
	}
}

// Step takes one input at the given instant and returns what is to be done.
// The returned slice is valid until the next Step.
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
			t.observe(now, r, func() { t.fail(now, r, true) })
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
		t.show()
	}
	return t.out
}

func (t *Table) configure(in Configuration) {
	kept := make(map[string]*record, len(in.Endpoints))
	t.keys = t.keys[:0]
	for _, c := range in.Endpoints {
		r := t.records[c.Key]
		if r == nil || r.configured.Address != c.Address {
			r = &record{}
		}
		r.configured = c
		t.list.mark(r)
		kept[c.Key] = r
		t.keys = append(t.keys, c.Key)
	}
	slices.Sort(t.keys)
	t.records = kept
	t.dirty = true
}

// report takes what an endpoint says of itself.
func (t *Table) report(now time.Time, in Report) {
	r := t.records[in.Key]
	if r == nil || in.Started.Truncate(time.Millisecond).Before(r.started) {
		return
	}
	t.observe(now, r, func() {
		t.begin(r, in.Started)
		t.list.mark(r)
		r.facts.leaving = r.facts.leaving || in.Leaving
		if in.Models == nil {
			in.Models = r.configured.Models
		}
		r.facts.models = slices.Clone(in.Models)
		slices.Sort(r.facts.models)
		t.succeed(now, r, true)
	})
}

// begin starts a new life of the endpoint if the start is newer.
func (t *Table) begin(r *record, started time.Time) {
	first := r.id == ""
	if !r.begin(started) {
		return
	}
	t.dirty = true
	if first {
		t.decide("EndpointFound", r)
	} else {
		t.decide("EndpointRestarted", r)
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
			t.fail(now, r, false)
		} else {
			t.succeed(now, r, false)
		}
	})
}

// observe applies something that was seen here, and queues news if it changes
// what peers are told.
func (t *Table) observe(now time.Time, r *record, apply func()) {
	id, before, ejected := r.id, r.facts, r.ejectedUntil()
	apply()
	if !r.ejectedUntil().Equal(ejected) {
		t.dirty = true
	}
	if r.id == id && r.facts.equal(&before) {
		return
	}
	t.dirty = true
	r.asOf = now
	t.news.add(now, r.configured.Key)
	if r.facts.leaving && !before.leaving {
		t.decide("EndpointLeaving", r)
	}
}

func (t *Table) tick(now time.Time) {
	for _, key := range t.keys {
		t.poll(now, t.records[key])
	}
	wait := max(listInterval, time.Duration(len(t.view.Routers))*listIntervalPerRouter)
	if now.Sub(t.readAt) >= wait {
		t.readAt = now
		t.emit(ReadList{})
	}
	t.sendNews(now)
}

// poll asks for a poll of an endpoint that is due.
func (t *Table) poll(now time.Time, r *record) {
	if now.Sub(r.polled) < t.pollWait(now, r) {
		return
	}
	r.polled = now
	t.emit(Poll{r.configured.Key, r.configured.Address, r.configured.Engine})
}

// pollWait is the time between two polls of the endpoint by this router. All
// routers look for an endpoint that nobody has found yet, most of them seldom.
func (t *Table) pollWait(now time.Time, r *record) time.Duration {
	switch {
	case r.health.probe && r.health.failures > 0 && r.id != "" && !now.Before(r.health.ejectedUntil):
		return pollAgain
	case r.health.probe && r.id != "", t.mine(r):
		return pollInterval
	case r.id == "":
		return searchInterval
	}
	return never
}

// mine reports whether this router is one of those that poll the endpoint.
// The first of them is also its dispatcher. The answer is kept until the view
// or the endpoint's identity changes, since finding it costs a hash a router.
func (t *Table) mine(r *record) bool {
	key := string(r.id)
	if key == "" {
		key = r.configured.Key
	}
	if r.owned.view != t.view || r.owned.key != key {
		owns := slices.Contains(t.view.Owners(key, pollers), t.view.Self)
		r.owned = ownership{t.view, key, owns}
	}
	return r.owned.mine
}

// show emits the table. An endpoint is shown once its start is known.
func (t *Table) show() {
	shown := make([]view.Endpoint, 0, len(t.records))
	for _, key := range t.keys {
		if r := t.records[key]; r.id != "" {
			shown = append(shown, r.shown())
		}
	}
	slices.SortFunc(shown, func(a, b view.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	t.emit(Changed{shown})
}

func (t *Table) emit(o Output) { t.out = append(t.out, o) }

func (t *Table) decide(event string, r *record, fields ...string) {
	t.emit(Decision{event, append([]string{"Endpoint", string(r.id)}, fields...)})
}
