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
	// finalThreshold is the number of endpoints whose failure rejects a request that
	// does not run isolated for ever. It has been tried alone before.
	finalThreshold = 5
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
func (t *Table) undecidedUntil(now time.Time, in CheckRequest, rejected bool) (time.Time, bool) {
	if t.options.Isolate || t.unexplained(now, in) != rejectThreshold {
		return time.Time{}, false
	}
	at := t.records[in.Fingerprint].changedAt.Add(settleTime)
	if rejected && !now.Before(at) {
		at = t.records[in.Fingerprint].changedAt.Add(convictionDelay)
	}
	return at, now.Before(at)
}

// logRejection logs the first rejection after each failure.
func (t *Table) logRejection(now time.Time, in CheckRequest, until time.Time) {
	n := t.unexplained(now, in)
	if c := t.records[in.Fingerprint]; c.loggedRejection != n {
		c.loggedRejection = n
		t.emit(Decision{"RequestConvicted", []string{
			"Fingerprint", strconv.FormatUint(uint64(in.Fingerprint), 16), "FailedEndpoints", strconv.Itoa(n), "Until", until.UTC().Format(time.RFC3339Nano),
			"Final", strconv.FormatBool(n >= finalThreshold),
		}})
	}
}

// rejection returns the instant until which a request is rejected, and false if
// it is not rejected now.
func (t *Table) rejection(now time.Time, in CheckRequest) (time.Time, bool) {
	n := t.unexplained(now, in)
	if n < rejectThreshold {
		return time.Time{}, false
	}
	if t.options.Isolate {
		return t.records[in.Fingerprint].until, true
	}
	if n < certainThreshold && (t.finishedRecently(now, in.Fingerprint) || !t.isOnlyRepeated(now, in) && !t.failsAlike(now, in)) {
		return time.Time{}, false
	}
	pause := min(firstRejection<<min(n-rejectThreshold, 8), evidenceLifetime)
	if n >= finalThreshold {
		return now.Add(pause), true
	}
	until := t.lastFailure(now, in).Add(pause)
	return until, now.Before(until)
}

// outlastsTime reports whether the evidence against f ends with an answer and not with
// time: time shows nothing about what crashes endpoints.
func (t *Table) outlastsTime(f Fingerprint) bool {
	return t.records[f].isFinal || t.isConvictedPart(f)
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
func (t *Table) isOnlyRepeated(now time.Time, in CheckRequest) bool {
	for id, e := range t.records[in.Fingerprint].evidence {
		if t.counts(now, in, e) && !t.hasOtherRepeated(now, in.Fingerprint, id) {
			return true
		}
	}
	return false
}

// hasOtherRepeated reports whether a request other than f was at the endpoint and
// at another one as they failed.
func (t *Table) hasOtherRepeated(now time.Time, f Fingerprint, id view.EndpointID) bool {
	for other, c := range t.records {
		if e := c.evidence[id]; other != f && !other.isPart() && e != nil && !e.Cleared && t.failedEndpoints(now, other) >= rejectThreshold {
			return true
		}
	}
	return false
}

// failsAlike reports whether the endpoints failed after the request had run there
// for about the same time. Where several requests met at each of them, most of
// those that did not cause it had begun earlier.
func (t *Table) failsAlike(now time.Time, in CheckRequest) bool {
	var shortest, longest time.Duration
	for _, e := range t.records[in.Fingerprint].evidence {
		if !t.counts(now, in, e) {
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

// lastFailure returns the instant of the last failure that counts against a request.
func (t *Table) lastFailure(now time.Time, in CheckRequest) time.Time {
	var last time.Time
	for _, e := range t.records[in.Fingerprint].evidence {
		if t.counts(now, in, e) && e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// counts reports whether a failure counts against a request as a whole.
func (t *Table) counts(now time.Time, in CheckRequest, e *Evidence) bool {
	return !e.Cleared && now.Before(e.Until) && !t.isExplained(in, e.Endpoint)
}

// unexplained returns the number of endpoints whose failure counts against a request
// as a whole.
func (t *Table) unexplained(now time.Time, in CheckRequest) int {
	n := 0
	if c := t.records[in.Fingerprint]; c != nil {
		for _, e := range c.evidence {
			if t.counts(now, in, e) {
				n++
			}
		}
	}
	return n
}
