package configuration

import (
	"time"

	"hyssopreach/internal/state/revision"
)

func (s *Distributor) isReader() bool { return s.rank >= 0 }

// readResult folds what was read. A snapshot that ends a blind fold moves the
// fold back, so folding stops there and the records in between are read again.
func (s *Distributor) readResult(now time.Time, in ReadResult) {
	s.reading = false
	s.retryDelay = 0
	s.readAt = now
	if s.logDown {
		s.logDown = false
		s.decide(EventLogUp, "next", number(s.fold.Next()))
	}
	if s.fold.Skip(in.Oldest) {
		s.decide(EventHole, "oldest", number(in.Oldest), "revision", number(s.inForce.Revision))
	}
	for _, r := range in.Records {
		if r.Offset != s.fold.Next() {
			break
		}
		s.foldRecord(now, r)
	}
	s.take(s.fold.InForce(), "log")
	if s.copyOffset < in.Oldest && !s.copyAt.IsZero() {
		// The log has forgotten the newest copy: append at once, yet one
		// reader after the other.
		s.copyAt = time.Time{}
		s.appendAt = now.Add(time.Duration(s.turn()) * minRetryDelay)
	}
}

func (s *Distributor) foldRecord(now time.Time, r Record) {
	out, err := s.fold.Apply(r.Offset, r.Payload)
	if err != nil {
		s.broken(err)
		return
	}
	if out.Broken != nil {
		s.broken(out.Broken)
	}
	if out.Revision == s.fold.InForce().Revision && (out.Verdict == revision.VerdictAccepted || out.Verdict == revision.VerdictSnapshot) {
		s.copyAt, s.copyOffset = earlier(r.Appended, now), r.Offset
	}
	s.logOutcome(out)
}

func (s *Distributor) logOutcome(out revision.Outcome) {
	fields := []string{"publish", out.PublishID, "offset", number(out.Offset)}
	if out.Reason != nil {
		fields = append(fields, "reason", out.Reason.Error())
	}
	switch out.Verdict {
	case revision.VerdictAccepted:
		s.decide(EventAccepted, append(fields, "revision", number(out.Revision))...)
	case revision.VerdictLostRace:
		s.decide(EventLostRace, append(fields, "revision", number(out.Revision))...)
	case revision.VerdictRefused:
		s.decide(EventRefused, fields...)
	case revision.VerdictUnjudged:
		s.decide(EventUnjudged, fields...)
	case revision.VerdictSnapshot:
	}
}

func (s *Distributor) readFailure(now time.Time, err error) {
	s.reading = false
	if !s.logDown {
		s.logDown = true
		s.decide(EventLogDown, "reason", err.Error(), "revision", number(s.inForce.Revision))
	}
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.readAt = now.Add(s.jitter(s.retryDelay))
}

// snapshotDue returns when this router should append the text in force again.
// The readers of each domain come one after the other, so that mostly one of
// them does it; several do no harm.
func (s *Distributor) snapshotDue() (time.Time, bool) {
	if !s.isReader() || s.appending || s.logDown || s.reading && s.fold.Next() == 0 {
		return time.Time{}, false
	}
	if s.fold.Blind() || s.fold.InForce().Revision == 0 {
		return time.Time{}, false
	}
	turn := time.Duration(s.turn()) * s.options.SnapshotInterval / 10
	at := s.copyAt.Add(s.options.SnapshotInterval + turn)
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
		s.broken(err)
		return
	}
	s.appending = true
	// Time for the appended record to be read back before it is tried again.
	s.appendAt = now.Add(s.options.SnapshotInterval / 10)
	s.decide(EventSnapshot, "revision", number(r.Revision), "folded", number(r.FoldedTo))
	s.emit(Append{Payload: payload})
}

func (s *Distributor) appendResult(now time.Time, err error) {
	s.appending = false
	if err != nil {
		s.appendAt = now.Add(s.jitter(maxRetryDelay))
	}
}
