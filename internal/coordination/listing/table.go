package listing

import (
	"slices"
	"strings"
	"time"

	"hyssopreach/internal/state/view"
)

// Table holds the newest list. It is not safe for concurrent use.
type Table struct {
	limits    Limits
	known     map[view.EndpointID]view.Endpoint
	lastRead  time.Time
	keepUntil time.Time
}

// Limits say how entries lapse and come back.
type Limits struct {
	// Lapse is the time without a list after which entries may have lapsed.
	LapseTime time.Duration
	// Relisted is the time after the next list in which they are back.
	RelistTime time.Duration
}

// New returns an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, known: map[view.EndpointID]view.Endpoint{}}
}

// Read takes a list that was read at the given instant and returns the
// endpoints that exist, sorted by ID.
func (t *Table) Update(now time.Time, list []view.Endpoint) []view.Endpoint {
	if !t.lastRead.IsZero() && now.Sub(t.lastRead) > t.limits.LapseTime {
		t.keepUntil = now.Add(t.limits.RelistTime)
	}
	t.lastRead = now
	known := make(map[view.EndpointID]view.Endpoint, len(list))
	for i := range list {
		known[list[i].ID] = list[i]
	}
	if now.Before(t.keepUntil) {
		t.keepMissing(known)
	}
	t.known = known
	all := make([]view.Endpoint, 0, len(known))
	for id := range known {
		all = append(all, known[id])
	}
	slices.SortFunc(all, func(a, b view.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// keepMissing adds the endpoints that are known and not listed, unless another
// one is listed at the same address, which it has taken over.
func (t *Table) keepMissing(known map[view.EndpointID]view.Endpoint) {
	taken := make(map[string]bool, len(known))
	for id := range known {
		taken[known[id].Address.String()] = true
	}
	for id, e := range t.known {
		if _, listed := known[id]; !listed && !taken[e.Address.String()] {
			known[id] = e
		}
	}
}
