package evacuation

import (
	"slices"
	"time"
)

// overlapTime is the time before a restore of the store was noticed in which a domain
// must have been taken back for that to be undone. A read that overlaps the restore may
// state the old epoch with the contents of the older copy; the next read, which states
// the new epoch, ends within two timeouts of a read and one interval (2.4 s).
const overlapTime = 2500 * time.Millisecond

// Reading is what one read of the store stated.
type Reading struct {
	// Domains are the evacuated failure domains.
	Domains []string
	// At is the instant at which the read was sent. A relayed reading retains it.
	At time.Time
}

// Change is the beginning or the end of an evacuation.
type Change struct {
	Domain    string
	Evacuated bool
}

// Table holds which failure domains are evacuated according to the readings so far. It
// is not safe for concurrent use.
type Table struct {
	// holdTime is the time after a restore of the store in which operators write the
	// latest records again.
	holdTime time.Duration
	// domains are the evacuated domains, sorted. The slice is never modified.
	domains []string
	// readAt is the instant of the newest reading; zero before the first one.
	readAt time.Time
	// holdUntil is the instant from which a reading may end evacuations again.
	holdUntil time.Time
	// returned holds the domains taken back lately, with the instant of the reading.
	returned map[string]time.Time
}

// New returns a table without readings. Evacuations known at a restore of the store are
// retained for holdTime.
func New(holdTime time.Duration) *Table {
	return &Table{holdTime: holdTime, returned: map[string]time.Time{}}
}

// Domains returns the evacuated domains, sorted. The result must not be modified.
func (t *Table) Domains() []string { return t.domains }

// ReadAt returns the instant of the newest reading, as of which the domains are known;
// zero before the first one.
func (t *Table) ReadAt() time.Time { return t.readAt }

// Observe merges a reading and returns what it changes. A reading that is not newer than
// the newest one so far is ignored.
func (t *Table) Observe(r Reading) []Change {
	if !r.At.After(t.readAt) {
		return nil
	}
	t.readAt = r.At
	next := normalise(r.Domains)
	if r.At.Before(t.holdUntil) {
		next = t.withKnown(next)
	}
	changes := t.replace(next)
	for name, at := range t.returned {
		if r.At.Sub(at) > overlapTime {
			delete(t.returned, name)
		}
	}
	for _, c := range changes {
		if !c.Evacuated {
			t.returned[c.Domain] = r.At
		}
	}
	return changes
}

// Restored tells the table that the store was restored from an older copy, which was
// noticed at the given instant. It returns the evacuations that begin again, because they
// ended by a reading that overlapped the restore.
func (t *Table) Restored(at time.Time) []Change {
	if until := at.Add(t.holdTime); until.After(t.holdUntil) {
		t.holdUntil = until
	}
	var again []string
	for name, returnedAt := range t.returned {
		if at.Sub(returnedAt) <= overlapTime {
			again = append(again, name)
		}
	}
	clear(t.returned)
	return t.replace(t.withKnown(normalise(again)))
}

// withKnown returns the domains with those that are evacuated already, which come first if
// there are too many.
func (t *Table) withKnown(domains []string) []string {
	all := slices.Clone(t.domains)
	for _, name := range domains {
		if len(all) < MaxDomains && !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// replace replaces the domains and returns the changes.
func (t *Table) replace(next []string) []Change {
	var changes []Change
	for _, name := range next {
		if !slices.Contains(t.domains, name) {
			changes = append(changes, Change{name, true})
		}
	}
	for _, name := range t.domains {
		if !slices.Contains(next, name) {
			changes = append(changes, Change{name, false})
		}
	}
	t.domains = next
	return changes
}
