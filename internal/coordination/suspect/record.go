package suspect

import (
	"cmp"
	"slices"
	"time"

	"hyssopreach/internal/state/view"
)

// record holds the evidence against one fingerprint, by endpoint.
type record struct {
	evidence map[view.EndpointID]*Evidence
	until    time.Time
	// changedAt is when this router got the last piece of evidence.
	changedAt time.Time
	// clearedAt is when this router last cleared evidence, or learned that another
	// router did.
	clearedAt time.Time
	// isFinal is set if a request is rejected for ever; see finalThreshold.
	isFinal bool
	// loggedRejection is the number of failed endpoints at the last rejection that
	// was logged.
	loggedRejection int
	// resends is set if this router saw a failure or cleared evidence itself.
	// It then sends the evidence again at resendAt.
	resends     bool
	resendAt    time.Time
	resendDelay time.Duration
	// permitHolder is the router to which this router, as owner, granted the
	// permit.
	permitHolder view.RouterID
	permitUntil  time.Time
	// holdsPermit is set while this router holds the permit that grantedBy
	// granted.
	holdsPermit bool
	grantedBy   view.RouterID
}

// all returns the evidence in the order of the endpoints.
func (c *record) all() []Evidence {
	all := make([]Evidence, 0, len(c.evidence))
	for _, id := range sortedKeys(c.evidence) {
		all = append(all, *c.evidence[id])
	}
	return all
}

// lasted returns how long the longest run that failed had lasted; zero if that is
// unknown.
func (e *Evidence) lasted() time.Duration {
	if e.BeganAt.IsZero() {
		return 0
	}
	return e.At.Sub(e.BeganAt)
}

// startResending makes this router send the evidence of a record repeatedly.
func (t *Table) startResending(now time.Time, c *record) {
	c.resends, c.resendDelay, c.resendAt = true, firstResendDelay, now.Add(firstResendDelay)
	t.recordDueAt(c.resendAt)
}

// recordDueAt moves recordsDueAt to the given instant if that is earlier.
func (t *Table) recordDueAt(at time.Time) {
	if t.recordsDueAt.IsZero() || at.Before(t.recordsDueAt) {
		t.recordsDueAt = at
	}
}

func (t *Table) clear(now time.Time, c *record, match func(*Evidence) bool) {
	var cleared []Evidence
	for _, id := range sortedKeys(c.evidence) {
		e := c.evidence[id]
		if e.Cleared || !match(e) {
			continue
		}
		e.Cleared = true
		cleared = append(cleared, *e)
		c.clearedAt = now
	}
	t.expireIfCleared(now, c)
	t.startResending(now, c)
	for i := range cleared {
		t.emit(Decision{"SuspectCleared", fields(&cleared[i])})
	}
	t.sendToAll(cleared)
}

// addEvidence adds evidence, or clears known evidence, and reports whether it did
// so. It ignores evidence that has expired, and evidence whose expiry lies
// further ahead than that of any valid evidence. Only the router that found the
// evidence logs it.
func (t *Table) addEvidence(now time.Time, e Evidence, own bool) bool {
	if !now.Before(e.Until) || e.Until.After(now.Add(2*evidenceLifetime)) {
		return false
	}
	c := t.records[e.Fingerprint]
	if c == nil {
		t.evictIfFull(now)
		c = &record{evidence: map[view.EndpointID]*Evidence{}}
		t.records[e.Fingerprint] = c
	}
	known := c.evidence[e.Endpoint]
	switch {
	case known == nil:
		c.evidence[e.Endpoint] = &e
		if e.Until.After(c.until) {
			c.until = e.Until
			t.recordDueAt(c.until)
		}
	case e.Cleared && !known.Cleared:
		known.Cleared = true
		c.clearedAt = now
		t.expireIfCleared(now, c)
		return true
	default:
		if known.lasted() < e.lasted() {
			known.BeganAt = known.At.Add(-e.lasted())
		}
		return false
	}
	if !e.Cleared {
		c.changedAt = now
		if !t.options.Isolate && !e.Fingerprint.isPart() && t.failedEndpoints(now, e.Fingerprint) >= finalThreshold {
			c.isFinal = true
			t.retain(now, c)
		}
		if own {
			event := "RequestSuspected"
			if e.Fingerprint.isPart() {
				event = EventPartSuspected
			}
			t.emit(Decision{event, fields(&e)})
		}
	}
	return true
}

// retain makes the evidence of a record last: that against a convicted part ends with an
// answer, not with time.
func (t *Table) retain(now time.Time, c *record) {
	c.until = now.Add(evidenceLifetime)
	for _, e := range c.evidence {
		e.Until = c.until
	}
	t.recordDueAt(c.retainAt())
}

// retainAt is when to retain evidence that does not end with time once more.
func (c *record) retainAt() time.Time { return c.until.Add(-evidenceLifetime / 2) }

// expireIfCleared lets the record expire soon if none of its evidence counts.
func (t *Table) expireIfCleared(now time.Time, c *record) {
	if t.options.Isolate {
		return
	}
	for _, e := range c.evidence {
		if !e.Cleared {
			return
		}
	}
	c.isFinal = false
	c.until = now.Add(clearedLifetime)
	t.recordDueAt(c.until)
}

// evictIfFull makes room if there are maxRecords. It removes evictedRecords at
// once, so that a full table does not search all records for each new one: first
// those that reject nothing, and of these the ones that expire first; those that
// outlast time last.
func (t *Table) evictIfFull(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	type candidate struct {
		fingerprint Fingerprint
		importance  int
		until       time.Time
	}
	all := make([]candidate, 0, len(t.records))
	for f, c := range t.records {
		importance := 0
		switch {
		case t.outlastsTime(f):
			importance = 2
		case t.failedEndpoints(now, f) >= rejectThreshold:
			importance = 1
		}
		all = append(all, candidate{f, importance, c.until})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.importance, b.importance), a.until.Compare(b.until), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, c := range all[:evictedRecords] {
		delete(t.records, c.fingerprint)
	}
}

// advanceRecords removes expired records and sends evidence again. Between the
// instants at which something is due, it costs nothing.
func (t *Table) advanceRecords(now time.Time) {
	if t.recordsDueAt.IsZero() || now.Before(t.recordsDueAt) {
		return
	}
	t.recordsDueAt = time.Time{}
	t.expireLate(now)
	var due []Fingerprint
	for f, c := range t.records {
		retained := t.outlastsTime(f)
		if retained && !now.Before(c.retainAt()) {
			t.retain(now, c)
		}
		switch {
		case !now.Before(c.until):
			delete(t.records, f)
			continue
		case c.resends && !now.Before(c.resendAt):
			due = append(due, f)
		case c.resends:
			t.recordDueAt(c.resendAt)
		}
		if retained {
			t.recordDueAt(c.retainAt())
		}
		t.recordDueAt(c.until)
	}
	slices.Sort(due)
	for _, f := range due {
		t.resendEvidence(now, f)
	}
	if len(t.convictions) > 0 {
		t.judgeParts(now)
	}
}

// resendEvidence sends the evidence against a request to all routers again.
// Where suspects run without restrictions, only evidence that rejects a request
// is worth the messages.
func (t *Table) resendEvidence(now time.Time, f Fingerprint) {
	c := t.records[f]
	if !t.options.Isolate && t.failedEndpoints(now, f) < rejectThreshold {
		c.resends = false
		return
	}
	c.resendDelay *= 2
	c.resendAt = now.Add(c.resendDelay)
	t.recordDueAt(c.resendAt)
	t.sendToAll(c.all())
}

// failedEndpoints returns the number of endpoints whose failure counts against
// a fingerprint.
func (t *Table) failedEndpoints(now time.Time, f Fingerprint) int {
	n := 0
	if c := t.records[f]; c != nil {
		for _, e := range c.evidence {
			if !e.Cleared && now.Before(e.Until) {
				n++
			}
		}
	}
	return n
}
