package revision

import (
	"fmt"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/text"
)

// Verdict is the result of folding a record.
type Verdict string

// The verdicts on a record.
const (
	// VerdictAccepted: the text is the revision in force from this record on.
	VerdictAccepted Verdict = "Accepted"
	// VerdictLostRace: a newer revision than the one that the text is based on
	// was in force.
	VerdictLostRace Verdict = "LostRace"
	// VerdictRefused: the record or its text is invalid.
	VerdictRefused Verdict = "Refused"
	// VerdictUnjudged: this reader cannot decide on the record, because of a
	// gap before it or because the program does not support its format.
	VerdictUnjudged Verdict = "Unjudged"
	// VerdictSnapshot: the record repeats an accepted revision.
	VerdictSnapshot Verdict = "Snapshot"
)

// Outcome describes the result of folding one record.
type Outcome struct {
	Offset    uint64
	PublishID string
	Verdict   Verdict
	// Revision is the revision of an accepted text or of a snapshot, or the one
	// in force if the text lost the race.
	Revision uint64
	// Reason is the reason why a record was refused or could not be decided on.
	Reason error
	// Violation describes an invariant violation that the record has revealed;
	// nil if there is none.
	Violation error
}

// Fold is the state of one reader of the stream. It has no lock: its owner must
// serialise the calls.
type Fold struct {
	// next is the offset of the next record to fold.
	next uint64
	// incomplete is set if inForce may no longer be in force at next.
	incomplete bool
	// gapEnd is, for an incomplete fold, the offset after the gap. A
	// configuration in force at a lower offset would only lead back to the same
	// gap.
	gapEnd  uint64
	inForce Configuration
}

// Next returns the offset of the next record to fold.
func (f *Fold) Next() uint64 { return f.next }

// Incomplete reports whether the revision in force at Next is unknown, because
// of a gap in the records.
func (f *Fold) Incomplete() bool { return f.incomplete }

// InForce returns the newest configuration that is known to have been in force.
func (f *Fold) InForce() Configuration { return f.inForce }

// Skip informs the fold that the log no longer retains the records below
// oldest. It reports whether this caused a gap.
func (f *Fold) Skip(oldest uint64) bool {
	if oldest <= f.next {
		return false
	}
	f.enterGap(oldest)
	return true
}

// enterGap makes the fold incomplete until it learns the configuration in force
// at or above the offset.
func (f *Fold) enterGap(offset uint64) {
	f.incomplete = true
	f.gapEnd = offset
	f.next = offset
}

// Apply folds the record at the offset, which must be Next. A snapshot that
// completes an incomplete fold may move Next back to the offset at which its
// revision was in force, so that the records in between are read and folded
// again.
func (f *Fold) Apply(offset uint64, payload []byte) (Outcome, error) {
	if offset != f.next {
		return Outcome{}, fmt.Errorf("fold stream %s: got offset %d, want %d", Stream, offset, f.next)
	}
	f.next++
	out := Outcome{Offset: offset}
	r, err := ParseRecord(payload)
	out.PublishID = r.PublishID
	switch {
	case err != nil && isNewerFormat(err):
		f.enterGap(f.next)
		out.Verdict, out.Reason = VerdictUnjudged, err
	case err != nil:
		out.Verdict, out.Reason = VerdictRefused, err
	case r.Kind == KindSnapshot:
		f.applySnapshot(&r, &out)
	default:
		f.applyPublish(&r, &out)
	}
	return out, nil
}

func (f *Fold) applyPublish(r *Record, out *Outcome) {
	if f.incomplete {
		out.Verdict = VerdictUnjudged
		out.Reason = fmt.Errorf("the revision in force is unknown: records before offset %d could not be read", f.gapEnd)
		return
	}
	data := []byte(r.Text)
	doc, err := text.Parse(data)
	switch {
	case err != nil && isNewerFormat(err):
		f.enterGap(f.next)
		out.Verdict, out.Reason = VerdictUnjudged, err
	case err != nil:
		out.Verdict, out.Reason = VerdictRefused, err
	case doc.BasedOn != r.BasedOn || r.BasedOn > f.inForce.Revision:
		out.Verdict, out.Reason = VerdictRefused, f.baseProblem(r, doc)
	case r.BasedOn < f.inForce.Revision:
		out.Verdict, out.Revision = VerdictLostRace, f.inForce.Revision
	default:
		v := Version{Revision: f.inForce.Revision + 1, Offset: out.Offset, Hash: Hash(data)}
		f.inForce = Configuration{Version: v, Text: data, Document: doc}
		out.Verdict, out.Revision = VerdictAccepted, v.Revision
	}
}

// baseProblem describes a BasedOn that differs from the record's or is above
// the revision in force.
func (f *Fold) baseProblem(r *Record, doc *text.Document) error {
	var ps problem.Problems
	allowed := fmt.Sprintf("%d, the revision in force", f.inForce.Revision)
	if doc.BasedOn != r.BasedOn {
		allowed = fmt.Sprintf("%d, as the record states", r.BasedOn)
	}
	ps.Add("BasedOn", fmt.Sprint(doc.BasedOn), allowed)
	return ps
}

func (f *Fold) applySnapshot(r *Record, out *Outcome) {
	out.Verdict, out.Revision = VerdictSnapshot, r.Revision
	v := Version{Revision: r.Revision, Offset: r.Offset, Hash: Hash([]byte(r.Text))}
	if r.FoldedTo > out.Offset {
		out.Verdict, out.Reason = VerdictRefused, fmt.Errorf("snapshot at offset %d has FoldedTo %d, which is above its own offset", out.Offset, r.FoldedTo)
		return
	}
	c, err := Load(v, []byte(r.Text))
	if err != nil {
		out.Verdict, out.Reason = VerdictRefused, err
		return
	}
	_, out.Violation = f.Adopt(c, r.FoldedTo)
}

// Adopt applies a configuration that another reader knows to have been in force
// at the offset foldedTo. For an accepted text of which nothing else is known,
// foldedTo is the offset after its record, where it was in force. Adopt reports
// whether the fold's state changed; the error describes an invariant violation.
func (f *Fold) Adopt(c Configuration, foldedTo uint64) (bool, error) {
	order, err := f.inForce.Compare(c.Version)
	order = -order // above zero when c is the higher one
	if err != nil {
		return false, fmt.Errorf("adopt the configuration in force at offset %d: %w", foldedTo, err)
	}
	if f.incomplete {
		return f.adoptAfterGap(c, foldedTo, order)
	}
	switch {
	case order < 0 && foldedTo > f.next:
		return false, fmt.Errorf("revision %d is in force at offset %d, but the higher revision %d was in force at the lower offset %d",
			c.Revision, foldedTo, f.inForce.Revision, f.next)
	case order > 0 && foldedTo <= f.next:
		// This reader derived a lower revision from the same records. Adopting
		// the higher one restores agreement within the fleet; the error reports
		// the disagreement.
		err = fmt.Errorf("revision %d is in force at offset %d, but this reader has the lower revision %d at offset %d",
			c.Revision, foldedTo, f.inForce.Revision, f.next)
		f.inForce = c
		return true, err
	case foldedTo <= f.next:
		return false, nil
	}
	f.inForce, f.next = c, foldedTo
	return true, nil
}

// adoptAfterGap is Adopt for an incomplete fold. The order is above zero if the
// version of c is higher than the one in force, and below zero if it is lower.
func (f *Fold) adoptAfterGap(c Configuration, foldedTo uint64, order int) (bool, error) {
	if foldedTo < f.gapEnd {
		// The configuration was in force before the gap, not necessarily after
		// it.
		if order > 0 {
			f.inForce = c
			return true, nil
		}
		return false, nil
	}
	if order < 0 {
		return false, fmt.Errorf("revision %d is in force at offset %d, but the higher revision %d was in force before offset %d",
			c.Revision, foldedTo, f.inForce.Revision, f.gapEnd)
	}
	f.inForce, f.next, f.incomplete = c, foldedTo, false
	return true, nil
}

// Snapshot returns the record that repeats the revision in force, to be
// appended before the log discards the original. It returns false while the
// fold is incomplete or no revision is in force.
func (f *Fold) Snapshot() (Record, bool) {
	if f.incomplete || f.inForce.Revision == 0 {
		return Record{}, false
	}
	return Record{
		FormatVersion: RecordVersion,
		Kind:          KindSnapshot,
		Text:          string(f.inForce.Text),
		Revision:      f.inForce.Revision,
		Offset:        f.inForce.Offset,
		FoldedTo:      f.next,
	}, true
}
