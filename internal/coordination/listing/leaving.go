package listing

import (
	"time"

	"hyssopreach/internal/state/view"
)

// RecordLeaving records that an endpoint has stated to this router that it leaves. This
// holds for the rest of its start, whatever a list states.
func (t *Table) RecordLeaving(now time.Time, id view.EndpointID) {
	t.leaving[id] = now
	if e, known := t.known[id]; known {
		e.Leaving = true
		t.known[id] = e
	}
}

// Stated returns the known endpoints that leave although the last list does not state it:
// what other routers may not know although they have the same list.
func (t *Table) Stated() []view.EndpointID {
	var all []view.EndpointID
	for id := range t.leaving {
		if _, known := t.known[id]; known && !t.listedLeaving[id] {
			all = append(all, id)
		}
	}
	return all
}

// recordListed records which endpoints leave by the last list.
func (t *Table) recordListed(list []view.Endpoint) {
	clear(t.listedLeaving)
	for i := range list {
		if list[i].Leaving {
			t.listedLeaving[list[i].ID] = true
		}
	}
}

// applyLeaving marks the current endpoints that have stated that they leave: in an answer,
// for the rest of the start, or in an entry that the listed one is not newer than. It
// forgets statements of endpoints that went long ago.
func (t *Table) applyLeaving(now time.Time, current map[view.EndpointID]view.Endpoint) {
	for id, e := range current {
		if known, ok := t.known[id]; ok && known.Leaving && e.Sequence <= known.Sequence {
			e.Leaving = true
			current[id] = e
		}
	}
	for id, at := range t.leaving {
		e, listed := current[id]
		switch {
		case listed:
			e.Leaving = true
			current[id] = e
			t.leaving[id] = now
		case at.IsZero():
			t.leaving[id] = now
		case now.Sub(at) > goneLifetime:
			delete(t.leaving, id)
		}
	}
}
