package listing

import (
	"time"

	"hyssopreach/internal/state/view"
)

// History is what a Table knows of endpoints that a list from the store may lack or
// state wrongly, because the store was restored from an older copy. A table that has
// just been created learns it from another one.
type History struct {
	// RestoredAt is the instant from which lists are from a store that was restored; zero
	// if their entries can't be outdated any more.
	RestoredAt time.Time
	// Known are the endpoints that exist.
	Known []view.Endpoint
	// Stated are the endpoints that have stated in an answer that they leave. A known one
	// that leaves and is none of these is listed as leaving, which a newer entry ends.
	Stated []view.EndpointID
	// Departed are the endpoints that went within the last goneLifetime.
	Departed []Departure
}

// Departure is the last entry of an endpoint that has gone.
type Departure struct {
	ID       view.EndpointID
	Sequence uint64
	At       time.Time
}

// History returns what the table knows.
func (t *Table) History(now time.Time) History {
	var h History
	if now.Before(t.distrustUntil) {
		h.RestoredAt = t.restoredAt
	}
	for _, e := range t.known {
		h.Known = append(h.Known, e)
	}
	for id := range t.leaving {
		h.Stated = append(h.Stated, id)
	}
	for _, g := range t.gone {
		h.Departed = append(h.Departed, g)
	}
	return h
}

// Learn adds what another table knows, of which the newer entry of each endpoint
// counts. Departures count against the entries of a list only after Restored, and the
// known endpoints become part of a list only if they would be retained.
func (t *Table) Learn(h History) {
	if h.RestoredAt.After(t.restoredAt) {
		t.Restored(h.RestoredAt)
	}
	for _, id := range h.Stated {
		if _, stated := t.leaving[id]; !stated {
			t.leaving[id] = time.Time{} // applyLeaving sets the instant
		}
	}
	for _, e := range h.Known {
		if g, left := t.gone[e.ID]; left && e.Sequence <= g.Sequence {
			continue
		}
		// Entries without sequences can't be compared, but leaving is permanent.
		if known, exists := t.known[e.ID]; exists && (e.Sequence < known.Sequence || e.Sequence == known.Sequence && !e.Leaving) {
			continue
		}
		delete(t.gone, e.ID)
		t.known[e.ID] = e
	}
	for _, g := range h.Departed {
		if known, exists := t.known[g.ID]; exists && known.Sequence > g.Sequence {
			continue
		}
		delete(t.known, g.ID)
		t.gone[g.ID] = g
	}
}
