package endpoint

import (
	"time"
)

const (
	// failuresToEject is the number of consecutive failures after which a
	// healthy endpoint is ejected. A single failure is enough for an endpoint
	// that was ejected recently.
	failuresToEject = 3
	// minEjection and maxEjection bound the duration of an ejection, which
	// doubles with each ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxDoublings bounds the exponent, so that the duration doesn't overflow.
	maxDoublings = 8
	// extendMargin is how long before its end an ejection is extended if the
	// endpoint still can't be reached, so that no request is sent to the
	// endpoint between two ejections.
	extendMargin = 2 * pollInterval
	// reduceAfter is the time without ejection after which one doubling is
	// undone.
	reduceAfter = 10 * time.Second
	// maxEjectedFraction is the fraction of a pool that may be ejected at once.
	// If more endpoints seem to fail, the fault is probably elsewhere, and
	// ejecting them would remove capacity that works.
	maxEjectedFraction = 0.5
)

// health is this router's own assessment of one start of an endpoint.
type health struct {
	// failures is the number of consecutive failures.
	failures int
	// doublings is the number of ejections that count towards the duration of
	// the next one.
	doublings int
	// ejectedUntil is zero for an endpoint that is not ejected.
	ejectedUntil time.Time
	// unreachable is set if polls failed. The ejection then ends with the first
	// poll that is answered.
	unreachable bool
	// reducedAt is when the last ejection ended or doublings last decreased.
	reducedAt time.Time
	// succeededAt is when a poll or an attempt of this router last succeeded.
	succeededAt time.Time
	// probing is set after a failure. This router then polls the endpoint even
	// if it is not one of its pollers.
	probing bool
}

// recordFailure counts a failure of a poll or an attempt, and ejects the
// endpoint if there were too many.
func (t *Table) recordFailure(now time.Time, r *record, poll bool) {
	h := &r.health
	h.failures++
	h.unreachable = h.unreachable || poll
	if !h.probing {
		h.probing, r.polledAt = true, time.Time{}
	}
	threshold, ejectFrom := failuresToEject, h.ejectedUntil
	if h.doublings > 0 {
		threshold = 1
	}
	if poll {
		ejectFrom = ejectFrom.Add(-extendMargin)
	}
	if h.failures >= threshold && !now.Before(ejectFrom) && r.id != "" {
		t.eject(now, r)
	}
}

// eject ejects the endpoint. Other routers learn of the ejection only if this
// router is one of the endpoint's pollers; any other router may merely be cut
// off from the endpoint.
func (t *Table) eject(now time.Time, r *record) {
	if !t.mayEject(now, r) {
		r.health.failures = 0
		t.logDecision("EjectionWithheld", r, "Pool", r.configured.Pool)
		return
	}
	h := &r.health
	duration := min(minEjection<<min(h.doublings, maxDoublings), maxEjection)
	h.doublings++
	h.failures = 0
	h.ejectedUntil = now.Add(duration)
	if t.isPoller(r) {
		r.shared.ejectedUntil = h.ejectedUntil
	}
	t.logDecision("EndpointEjected", r, "Until", h.ejectedUntil.Format(time.RFC3339Nano))
}

// mayEject reports whether one more endpoint of the pool may be ejected.
func (t *Table) mayEject(now time.Time, r *record) bool {
	size, ejected := 0, 0
	for _, other := range t.records {
		if other.configured.Pool != r.configured.Pool {
			continue
		}
		size++
		if other != r && now.Before(other.ejectedUntil()) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedFraction*float64(size)
}

// recordSuccess records a successful poll or attempt. An answered poll proves
// only that the endpoint is reachable, so it doesn't reset the count of failed
// attempts.
func (t *Table) recordSuccess(now time.Time, r *record, poll bool) {
	h := &r.health
	h.succeededAt = now
	if poll {
		h.probing = false
	}
	if !poll || h.unreachable {
		h.failures = 0
	}
	if poll && h.unreachable || !now.Before(h.ejectedUntil) {
		if !h.ejectedUntil.IsZero() {
			t.logDecision("EndpointReturned", r)
			h.reducedAt = now
		}
		h.unreachable, h.ejectedUntil = false, time.Time{}
	}
	if h.doublings > 0 && h.ejectedUntil.IsZero() && now.Sub(h.reducedAt) >= reduceAfter {
		h.doublings--
		h.reducedAt = now
	}
	if !r.shared.ejectedUntil.Equal(h.ejectedUntil) && t.isPoller(r) {
		r.shared.ejectedUntil = h.ejectedUntil
	}
}
