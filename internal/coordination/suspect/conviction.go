package suspect

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// certainThreshold is the number of endpoints whose failure convicts a request
	// that does not run isolated, even if other requests failed beside it each
	// time.
	certainThreshold = 3
	// firstRejection is the time for which a request that does not run isolated is
	// rejected after the failure that convicted it. Each further failure doubles
	// it, up to evidenceLifetime. A request that was convicted by mistake can then
	// clear itself, and one that does crash endpoints takes one for each period.
	firstRejection = 30 * time.Second
	// settleTime is the time after the second failure for which a request that does
	// not run isolated waits. Evidence against the others at the same endpoint, by
	// which it is judged, is on its way from the routers that sent them.
	settleTime = 100 * time.Millisecond
	// convictionDelay is the time after the second failure before which a request
	// that does not run isolated is not rejected. Other runs of it, which were under
	// way at the failure, may finish meanwhile and clear it. No new ones start.
	convictionDelay = 500 * time.Millisecond
	// alikeTolerance is the largest difference between the times after which two
	// endpoints failed under a request that crashes them.
	alikeTolerance = 100 * time.Millisecond
)

// undecidedUntil returns the instant at which to judge a request with failures of
// two endpoints, and false if it can be judged now.
func (t *Table) undecidedUntil(now time.Time, f Fingerprint, rejected bool) (time.Time, bool) {
	if t.options.Isolate || t.failedEndpoints(now, f) != rejectThreshold {
		return time.Time{}, false
	}
	at := t.records[f].changedAt.Add(settleTime)
	if rejected && !now.Before(at) {
		at = t.records[f].changedAt.Add(convictionDelay)
	}
	return at, now.Before(at)
}

// logRejection logs the first rejection after each failure.
func (t *Table) logRejection(now time.Time, f Fingerprint, until time.Time) {
	n := t.failedEndpoints(now, f)
	if c := t.records[f]; c.loggedRejection != n {
		c.loggedRejection = n
		t.emit(Decision{"RequestConvicted", []string{
			"Fingerprint", strconv.FormatUint(uint64(f), 16), "FailedEndpoints", strconv.Itoa(n), "Until", until.UTC().Format(time.RFC3339Nano),
		}})
	}
}

// rejection returns the instant until which a request is rejected, and false if
// it is not rejected now.
func (t *Table) rejection(now time.Time, f Fingerprint) (time.Time, bool) {
	n := t.failedEndpoints(now, f)
	if n < rejectThreshold {
		return time.Time{}, false
	}
	if t.options.Isolate {
		return t.records[f].until, true
	}
	if n < certainThreshold && (t.finishedRecently(now, f) || !t.isOnlyRepeated(now, f) && !t.failsAlike(now, f)) {
		return time.Time{}, false
	}
	until := t.lastFailure(now, f).Add(min(firstRejection<<min(n-rejectThreshold, 8), evidenceLifetime))
	return until, now.Before(until)
}

// finishedRecently reports whether the request was cleared a short time ago. One
// that crashes every endpoint never is.
func (t *Table) finishedRecently(now time.Time, f Fingerprint) bool {
	at := t.records[f].clearedAt
	return !at.IsZero() && now.Sub(at) < clearedLifetime
}

// isOnlyRepeated reports whether, at one of the endpoints that failed, the
// request was the only one that had been at another failed endpoint too. Requests
// that ran beside one that crashes endpoints are sent elsewhere, and may meet it
// there again.
func (t *Table) isOnlyRepeated(now time.Time, f Fingerprint) bool {
	for id, e := range t.records[f].evidence {
		if !e.Cleared && now.Before(e.Until) && !t.hasOtherRepeated(now, f, id) {
			return true
		}
	}
	return false
}

// hasOtherRepeated reports whether a request other than f was at the endpoint and
// at another one as they failed.
func (t *Table) hasOtherRepeated(now time.Time, f Fingerprint, id view.EndpointID) bool {
	for other, c := range t.records {
		if e := c.evidence[id]; other != f && e != nil && !e.Cleared && t.failedEndpoints(now, other) >= rejectThreshold {
			return true
		}
	}
	return false
}

// failsAlike reports whether the endpoints failed after the request had run there
// for about the same time. Where several requests met at each of them, most of
// those that did not cause it had begun earlier.
func (t *Table) failsAlike(now time.Time, f Fingerprint) bool {
	var shortest, longest time.Duration
	for _, e := range t.records[f].evidence {
		if e.Cleared || !now.Before(e.Until) {
			continue
		}
		d := e.lasted()
		if d <= 0 {
			return false
		}
		if shortest == 0 || d < shortest {
			shortest = d
		}
		longest = max(longest, d)
	}
	return longest-shortest <= alikeTolerance
}

// lastFailure returns the instant of the last failure that counts against f.
func (t *Table) lastFailure(now time.Time, f Fingerprint) time.Time {
	var last time.Time
	for _, e := range t.records[f].evidence {
		if !e.Cleared && now.Before(e.Until) && e.At.After(last) {
			last = e.At
		}
	}
	return last
}
