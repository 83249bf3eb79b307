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
	// retainUntil is the instant until which endpoints that are missing from
	// the list are retained after an outage.
	retainUntil time.Time
}

// Limits configure how a Table detects and bridges an outage of the store.
type Limits struct {
	// LapseTime is the longest time between two lists in which no entry of a
	// running endpoint can lapse. A longer time counts as an outage.
	LapseTime time.Duration
	// RelistTime is the time, from the first list after an outage, within which
	// endpoints have renewed lapsed entries.
	RelistTime time.Duration
}

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, known: map[view.EndpointID]view.Endpoint{}}
}

// Update processes a list that was read from the store at the given instant. It
// returns the endpoints that exist, sorted by ID.
func (t *Table) Update(now time.Time, list []view.Endpoint) []view.Endpoint {
	if !t.lastRead.IsZero() && now.Sub(t.lastRead) > t.limits.LapseTime {
		t.retainUntil = now.Add(t.limits.RelistTime)
	}
	t.lastRead = now
	current := make(map[view.EndpointID]view.Endpoint, len(list))
	for i := range list {
		current[list[i].ID] = list[i]
	}
	if now.Before(t.retainUntil) {
		t.retainMissing(current)
	}
	t.known = current
	all := make([]view.Endpoint, 0, len(current))
	for id := range current {
		all = append(all, current[id])
	}
	slices.SortFunc(all, func(a, b view.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
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
