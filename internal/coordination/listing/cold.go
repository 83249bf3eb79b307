package listing

import (
	"maps"
	"time"

	endpointid "hyssopreach/internal/coordination/endpoint"
	"hyssopreach/internal/state/view"
)

const (
	// maxCold bounds the time for which an entry can make its endpoint cold. A longer one
	// is more likely an error.
	maxCold = time.Minute
	// maxClockError is the difference between the clocks of an endpoint and a router that
	// is allowed for where only the start of the endpoint is stated.
	maxClockError = 5 * time.Second
	// maxEntryAge is the time that an entry may have been in the store when it is first
	// read. An entry that is read within it after an answer may be older than the answer
	// and does not shorten the cold time that this stated.
	maxEntryAge = 2500 * time.Millisecond
)

// coldState is what the entries of one start of an endpoint state about its cold time.
type coldState struct {
	sequence uint64
	left     time.Duration
	// until is the end of the cold time; zero if there is none.
	until time.Time
	// firstAt and lastAt are the instants at which the endpoint was first and last listed.
	firstAt, lastAt time.Time
	// answeredAt is the instant of the last answer that stated a cold time.
	answeredAt time.Time
}

// MarkCold sets ColdUntil of the listed endpoints of pools that have cold endpoints. The
// time that an entry states counts from when the entry with its sequence was first seen,
// at the given instant or before: reading it again does not extend the time.
func (t *Table) MarkCold(now time.Time, endpoints []view.Endpoint, pool func(name string) view.Pool) {
	for i := range endpoints {
		e := &endpoints[i]
		p := pool(e.Pool)
		if p.ColdPerSecond <= 0 {
			continue
		}
		c := t.cold[e.ID]
		isNew := c == nil
		if isNew {
			c = &coldState{firstAt: now}
			t.cold[e.ID] = c
		}
		c.lastAt = now
		// Entries without sequences are told apart by what they state.
		if isNew || e.Sequence != c.sequence || e.Sequence == 0 && e.ColdLeft != c.left {
			c.sequence, c.left = e.Sequence, e.ColdLeft
			until := c.coldUntil(now, e, p.ColdStart)
			if until.After(c.until) || now.Sub(c.answeredAt) >= maxEntryAge {
				c.until = until
			}
		}
		e.ColdUntil = c.until
	}
	maps.DeleteFunc(t.cold, func(_ view.EndpointID, c *coldState) bool { return now.Sub(c.lastAt) > goneLifetime })
}

// coldUntil returns the end of the cold time by an entry that is first seen now.
func (c *coldState) coldUntil(now time.Time, e *view.Endpoint, coldStart time.Duration) time.Time {
	switch {
	case e.ColdLeft > 0:
		return now.Add(min(e.ColdLeft, maxCold))
	case e.ColdLeft < 0:
		return time.Time{}
	}
	_, started, ok := endpointid.ParseID(e.ID)
	if !ok || started.UnixMilli() == 0 {
		return time.Time{}
	}
	// However wrong the clocks are, the endpoint has started before it was listed.
	left := min(coldStart+maxClockError-c.firstAt.Sub(started), coldStart)
	if left <= 0 {
		return time.Time{}
	}
	return c.firstAt.Add(min(left, maxCold))
}

// RecordCold records that an endpoint has stated, in an answer that arrives now, how much
// longer it stays cold. It returns the end of the cold time, and false if nothing has
// changed or the endpoint is not listed in a pool with cold endpoints.
func (t *Table) RecordCold(now time.Time, id view.EndpointID, left time.Duration) (until time.Time, changed bool) {
	c := t.cold[id]
	if c == nil {
		return time.Time{}, false
	}
	if left > 0 {
		until = now.Add(min(left, maxCold))
	}
	c.answeredAt = now
	// An answer says again what an entry said before, at about the same instant.
	if !now.Before(c.until) && until.IsZero() || until.Sub(c.until).Abs() < minColdChange {
		return c.until, false
	}
	c.until = until
	return until, true
}

// minColdChange is the difference from which an answer changes the end of a cold time,
// since each change costs a new snapshot of the fleet.
const minColdChange = 100 * time.Millisecond
