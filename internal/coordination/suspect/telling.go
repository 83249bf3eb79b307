package suspect

import (
	"slices"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// tellEvery is the time after which evidence is told again to routers that
	// have not confirmed it. It is under the time for which a link that could
	// not be opened drops what it is given.
	tellEvery = 50 * time.Millisecond
	// tellWithin bounds how long the caller of a request that broke waits for
	// that; whoever has not confirmed it by then can't be reached.
	tellWithin = 500 * time.Millisecond
)

// telling is a Broken whose evidence not all routers have confirmed.
type telling struct {
	EndpointFailed
	evidence Evidence
	unheard  []view.RouterID
	againAt  time.Time
	until    time.Time
}

// tellAll tells evidence to all routers and answers the Broken once they have
// confirmed it.
func (t *Table) tellAll(now time.Time, in EndpointFailed, e Evidence) {
	one := &telling{EndpointFailed: in, evidence: e, againAt: now.Add(tellEvery), until: now.Add(tellWithin)}
	for i := range t.view.Routers {
		if r := &t.view.Routers[i]; r.ID != t.self && !r.Suspected {
			one.unheard = append(one.unheard, r.ID)
		}
	}
	t.tellings = append(t.tellings, one)
	t.tellUnheard(one)
}

func (t *Table) tellUnheard(one *telling) {
	for _, id := range one.unheard {
		t.emit(Send{id, EvidenceUpdate{Evidence: []Evidence{one.evidence}, Reply: true}})
	}
}

// taken notes that a router knows a piece of evidence.
func (t *Table) taken(from view.RouterID, m EvidenceAck) {
	for _, one := range t.tellings {
		if one.Fingerprint == m.Fingerprint && one.Endpoint == m.Endpoint {
			one.unheard = slices.DeleteFunc(one.unheard, func(id view.RouterID) bool { return id == from })
		}
	}
}

// forgetGone stops waiting for routers that have left the view.
func (t *Table) forgetGone() {
	for _, one := range t.tellings {
		one.unheard = slices.DeleteFunc(one.unheard, func(id view.RouterID) bool { return !t.lives(id) })
	}
}

// proceedTelling answers what has been told and tells the rest again. It
// returns when to look again; zero for never.
func (t *Table) proceedTelling(now time.Time) time.Time {
	var next time.Time
	t.tellings = slices.DeleteFunc(t.tellings, func(one *telling) bool {
		if len(one.unheard) == 0 || !now.Before(one.until) {
			t.emit(BroadcastDone{one.ID})
			return true
		}
		if !now.Before(one.againAt) {
			one.againAt = now.Add(tellEvery)
			t.tellUnheard(one)
		}
		if next.IsZero() || one.againAt.Before(next) {
			next = one.againAt
		}
		return false
	})
	return next
}
