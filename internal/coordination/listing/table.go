package listing

import (
	"slices"
	"strings"
	"time"

	"hyssopreach/internal/state/view"
)

// Table holds the endpoints that exist according to the lists read so far. It
// is not safe for concurrent use.
type Table struct {
	limits   Limits
	known    map[view.EndpointID]view.Endpoint
	lastRead time.Time
	// updatedAt is the instant of the last list that was not doubted.
	updatedAt time.Time
	// retainUntil is the instant until which endpoints that are missing from
	// the list are retained after an outage.
	retainUntil time.Time
	// gone holds the endpoints that went within the last goneLifetime.
	gone map[view.EndpointID]Departure
	// leaving holds the endpoints that have stated in an answer that they leave, with the
	// instant of that or at which they were last listed.
	leaving map[view.EndpointID]time.Time
	// listedLeaving holds the endpoints that leave by the last list.
	listedLeaving map[view.EndpointID]bool
	// cold holds the endpoints of pools whose endpoints may be cold.
	cold map[view.EndpointID]*coldState
	// distrustUntil is the instant until which entries of a restored store may be
	// older than what is known. Departures from before restoredAt count against
	// them.
	restoredAt, distrustUntil time.Time
}

// goneLifetime is the time for which endpoints that have gone are remembered. It
// is longer than the age of a copy from which a store comes back.
const goneLifetime = time.Minute

// Limits configure how a Table detects and bridges an outage of the store.
type Limits struct {
	// LapseTime is the longest time between two lists in which no entry of a
	// running endpoint can lapse. A longer time counts as an outage.
	LapseTime time.Duration
	// RelistTime is the time, from the first list after an outage, within which
	// endpoints have renewed lapsed entries.
	RelistTime time.Duration
	// DoubtTime is the time after a list for which one that lacks all endpoints at
	// once is doubted. It is at most the time for which endpoints that have gone
	// take requests.
	DoubtTime time.Duration
}

// minDoubted is the number of endpoints that must be missing at once for a list to be
// doubted. One endpoint may well be stopped by itself.
const minDoubted = 2

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{
		limits: l, known: map[view.EndpointID]view.Endpoint{}, gone: map[view.EndpointID]Departure{},
		leaving: map[view.EndpointID]time.Time{}, listedLeaving: map[view.EndpointID]bool{}, cold: map[view.EndpointID]*coldState{},
	}
}

// Restored tells the table that lists read from the given instant on are from a
// store that was restored from an older copy. Endpoints that run write their entries
// again within Limits.RelistTime, and those of others lapse within
// Limits.LapseTime after that.
func (t *Table) Restored(now time.Time) {
	t.restoredAt = now
	t.retainUntil = now.Add(t.limits.RelistTime)
	t.distrustUntil = t.retainUntil.Add(t.limits.LapseTime)
}

// Doubts reports whether a list that was read at the given instant is to be ignored: it
// holds no entry at all, although the one before held several. The store may have lost
// them for a moment, and nothing says that they were removed.
func (t *Table) Doubts(now time.Time, list []view.Endpoint) bool {
	if len(list) > 0 || now.Sub(t.updatedAt) >= t.limits.DoubtTime || now.Sub(t.lastRead) > t.limits.LapseTime || now.Before(t.retainUntil) {
		return false
	}
	ready := 0
	for _, e := range t.known {
		if !e.Leaving {
			ready++
		}
	}
	if ready < minDoubted {
		return false
	}
	t.recordRead(now)
	return true
}

// recordRead records that a list was read at the given instant. One that another router
// relays may be older than one that was doubted.
func (t *Table) recordRead(at time.Time) {
	if at.After(t.lastRead) {
		t.lastRead = at
	}
}

// Update processes a list that was read from the store at the given instant. It
// returns the endpoints that exist, sorted by ID.
func (t *Table) Update(now time.Time, list []view.Endpoint) []view.Endpoint {
	if !t.lastRead.IsZero() && now.Sub(t.lastRead) > t.limits.LapseTime {
		t.retainUntil = now.Add(t.limits.RelistTime)
	}
	t.recordRead(now)
	t.updatedAt = now
	t.recordListed(list)
	current := make(map[view.EndpointID]view.Endpoint, len(list))
	for i := range list {
		current[list[i].ID] = list[i]
	}
	if now.Before(t.distrustUntil) {
		t.dropOutdated(current)
	}
	if now.Before(t.retainUntil) {
		t.retainMissing(current)
	}
	t.recordGone(now, current)
	t.applyLeaving(now, current)
	t.known = current
	all := make([]view.Endpoint, 0, len(current))
	for id := range current {
		all = append(all, current[id])
	}
	slices.SortFunc(all, func(a, b view.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// dropOutdated corrects a list by what is known from before the store was restored:
// endpoints that had gone are dropped, and what others stated last remains, unless
// their entries are newer.
func (t *Table) dropOutdated(current map[view.EndpointID]view.Endpoint) {
	for id, e := range current {
		if g, ok := t.gone[id]; ok && !g.At.After(t.restoredAt) && e.Sequence <= g.Sequence {
			delete(current, id)
			continue
		}
		if known, ok := t.known[id]; ok && e.Sequence <= known.Sequence {
			current[id] = known
		}
	}
}

// recordGone remembers the endpoints that are known and not among the current
// ones, and forgets those that are back or went long ago.
func (t *Table) recordGone(now time.Time, current map[view.EndpointID]view.Endpoint) {
	for id, g := range t.gone {
		if _, back := current[id]; back || now.Sub(g.At) > goneLifetime {
			delete(t.gone, id)
		}
	}
	for id := range t.known {
		if _, listed := current[id]; !listed {
			t.gone[id] = Departure{id, t.known[id].Sequence, now}
		}
	}
}

// retainMissing adds to the current endpoints the known ones that are missing
// from the list, except those whose address is listed for another endpoint: that
// endpoint has taken over the address.
func (t *Table) retainMissing(current map[view.EndpointID]view.Endpoint) {
	takenAddresses := make(map[string]bool, len(current))
	for id := range current {
		takenAddresses[current[id].Address.String()] = true
	}
	for id, e := range t.known {
		if _, listed := current[id]; !listed && !takenAddresses[e.Address.String()] {
			current[id] = e
		}
	}
}
