package endpoint

import (
	"time"
)

const (
	// failuresToEject is the number of failures in a row after which an
	// endpoint in good standing is ejected. One is enough for an endpoint
	// that has been ejected lately.
	failuresToEject = 3
	// ejectionShortest and ejectionLongest bound the time of an ejection,
	// which doubles each time.
	ejectionShortest = time.Second
	ejectionLongest  = 30 * time.Second
	// maxDoublings keeps the doubling within its type.
	maxDoublings = 8
	// extendBefore is how long before its end an ejection is extended if the
	// endpoint still can't be reached, so that no work slips through between.
	extendBefore = 2 * pollInterval
	// forgiveAfter is the time in good standing that takes back one doubling.
	forgiveAfter = 10 * time.Second
	// ejectableFraction is the part of a pool that may be ejected at once:
	// when more seems to fail, the fault is likely elsewhere, and ejecting
	// would take away capacity that works.
	ejectableFraction = 0.5
)

// health is the standing of one start of an endpoint in the eyes of this
// router.
type health struct {
	// failures are in a row.
	failures int
	// ejections is the number of doublings in force.
	ejections int
	// ejectedUntil is zero for an endpoint in good standing.
	ejectedUntil time.Time
	// unreachable is set if polls failed; the ejection then ends with the
	// first poll that is answered.
	unreachable bool
	// forgiven is when the last doubling was taken back.
	forgiven time.Time
	// succeeded is when the endpoint last worked for this router.
	succeeded time.Time
	// probe asks this router to poll the endpoint although others do.
	probe bool
}

// fail counts a failure of a poll or an attempt.
func (t *Table) fail(now time.Time, r *record, poll bool) {
	h := &r.health
	h.failures++
	h.unreachable = h.unreachable || poll
	if !h.probe {
		h.probe, r.polled = true, time.Time{}
	}
	needed, from := failuresToEject, h.ejectedUntil
	if h.ejections > 0 {
		needed = 1
	}
	if poll {
		from = from.Add(-extendBefore)
	}
	if h.failures >= needed && !now.Before(from) && r.id != "" {
		t.eject(now, r)
	}
}

// eject takes the endpoint out of use. Peers are told only if this router is
// one of those that poll it: another may merely be cut off from it.
func (t *Table) eject(now time.Time, r *record) {
	if !t.mayEject(now, r) {
		r.health.failures = 0
		t.decide("EjectionWithheld", r, "Pool", r.configured.Pool)
		return
	}
	h := &r.health
	took := min(ejectionShortest<<min(h.ejections, maxDoublings), ejectionLongest)
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(took)
	if t.mine(r) {
		r.facts.ejectedUntil = h.ejectedUntil
	}
	t.decide("EndpointEjected", r, "Until", h.ejectedUntil.Format(time.RFC3339Nano))
}

// mayEject reports whether the pool can spare one more endpoint.
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
	return float64(ejected+1) <= ejectableFraction*float64(size)
}

// succeed notes that the endpoint worked. An answered poll proves only that
// it can be reached, so it doesn't end a row of attempts that broke.
func (t *Table) succeed(now time.Time, r *record, poll bool) {
	h := &r.health
	h.succeeded = now
	if poll {
		h.probe = false
	}
	if !poll || h.unreachable {
		h.failures = 0
	}
	if poll && h.unreachable || !now.Before(h.ejectedUntil) {
		if !h.ejectedUntil.IsZero() {
			t.decide("EndpointReturned", r)
			h.forgiven = now
		}
		h.unreachable, h.ejectedUntil = false, time.Time{}
	}
	if h.ejections > 0 && h.ejectedUntil.IsZero() && now.Sub(h.forgiven) >= forgiveAfter {
		h.ejections--
		h.forgiven = now
	}
	if !r.facts.ejectedUntil.Equal(h.ejectedUntil) && t.mine(r) {
		r.facts.ejectedUntil = h.ejectedUntil
	}
}
