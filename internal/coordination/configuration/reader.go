package configuration

import (
	"time"

	"hyssopreach/internal/state/revision"
)

func (s *Distributor) isReader() bool { return s.readerRank >= 0 }

// readResult folds the records that were read. A snapshot that completes an
// incomplete fold moves the fold back, so folding stops there and the records
// in between are read again.
func (s *Distributor) readResult(now time.Time, in ReadResult) {
	s.reading = false
	s.retryDelay = 0
	s.readAt = now
	if s.logDown {
		s.logDown = false
		s.logDecision(EventLogUp, "next", formatUint(s.fold.Next()))
	}
	if s.fold.Skip(in.Oldest) {
		s.logDecision(EventHole, "oldest", formatUint(in.Oldest), "revision", formatUint(s.inForce.Revision))
	}
	for _, r := range in.Records {
		if r.Offset != s.fold.Next() {
			break
		}
		s.foldRecord(now, r)
	}
	s.adopt(s.fold.InForce(), "log")
	if s.copyOffset < in.Oldest && !s.copyAt.IsZero() {
		// The log no longer holds the newest copy, so a new one is due at once.
		// The delay makes the readers take turns.
		s.copyAt = time.Time{}
		s.appendAt = now.Add(time.Duration(s.snapshotTurn()) * minRetryDelay)
	}
}

func (s *Distributor) foldRecord(now time.Time, r Record) {
	out, err := s.fold.Apply(r.Offset, r.Payload)
	if err != nil {
		s.reportViolation(err)
		return
	}
	if out.Violation != nil {
		s.reportViolation(out.Violation)
	}
	if out.Revision == s.fold.InForce().Revision && (out.Verdict == revision.VerdictAccepted || out.Verdict == revision.VerdictSnapshot) {
		s.copyAt, s.copyOffset = earlier(r.Appended, now), r.Offset
	}
	s.logOutcome(out)
}

func (s *Distributor) logOutcome(out revision.Outcome) {
	fields := []string{"publish", out.PublishID, "offset", formatUint(out.Offset)}
	if out.Reason != nil {
		fields = append(fields, "reason", out.Reason.Error())
	}
	switch out.Verdict {
	case revision.VerdictAccepted:
		s.logDecision(EventAccepted, append(fields, "revision", formatUint(out.Revision))...)
	case revision.VerdictLostRace:
		s.logDecision(EventLostRace, append(fields, "revision", formatUint(out.Revision))...)
	case revision.VerdictRefused:
		s.logDecision(EventRefused, fields...)
	case revision.VerdictUnjudged:
		s.logDecision(EventUnjudged, fields...)
	case revision.VerdictSnapshot:
	}
}

func (s *Distributor) readFailure(now time.Time, err error) {
	s.reading = false
	if !s.logDown {
		s.logDown = true
		s.logDecision(EventLogDown, "reason", err.Error(), "revision", formatUint(s.inForce.Revision))
	}
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.readAt = now.Add(s.jitter(s.retryDelay))
}

// snapshotDue returns the instant at which this router should append a snapshot
// of the text in force, or false if it should not. The readers take turns, so
// that usually only one of them appends a snapshot; several snapshots do no
// harm.
func (s *Distributor) snapshotDue() (time.Time, bool) {
	if !s.isReader() || s.appending || s.logDown || s.reading && s.fold.Next() == 0 {
		return time.Time{}, false
	}
	if s.fold.Incomplete() || s.fold.InForce().Revision == 0 {
		return time.Time{}, false
	}
	delay := time.Duration(s.snapshotTurn()) * s.options.SnapshotInterval / 10
	at := s.copyAt.Add(s.options.SnapshotInterval + delay)
	if at.Before(s.appendAt) {
		at = s.appendAt
	}
	return at, true
}

func (s *Distributor) appendSnapshot(now time.Time) {
	r, ok := s.fold.Snapshot()
	if !ok {
		return
	}
	payload, err := r.Encode()
	if err != nil {
		s.reportViolation(err)
		return
	}
	s.appending = true
	// Leaves time to read the appended record back before the next attempt.
	s.appendAt = now.Add(s.options.SnapshotInterval / 10)
	s.logDecision(EventSnapshot, "revision", formatUint(r.Revision), "folded", formatUint(r.FoldedTo))
	s.emit(Append{Payload: payload})
}

func (s *Distributor) appendResult(now time.Time, err error) {
	s.appending = false
	if err != nil {
		s.appendAt = now.Add(s.jitter(maxRetryDelay))
	}
}
