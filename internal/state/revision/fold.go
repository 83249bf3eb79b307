package revision

import (
	"fmt"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/text"
)

// Verdict is what the fold makes of a record.
type Verdict string

// The verdicts on a record.
const (
	// VerdictAccepted: the text is the revision in force from here on.
	VerdictAccepted Verdict = "Accepted"
	// VerdictLostRace: another revision than the text's base was in force.
	VerdictLostRace Verdict = "LostRace"
	// VerdictRefused: the record or its text has faults.
	VerdictRefused Verdict = "Refused"
	// VerdictUnjudged: this reader cannot judge the record, because of a hole
	// before it or because its format is newer than the program.
	VerdictUnjudged Verdict = "Unjudged"
	// VerdictSnapshot: the record repeats a revision.
	VerdictSnapshot Verdict = "Snapshot"
)

// Outcome tells what became of one record.
type Outcome struct {
	Offset    uint64
	PublishID string
	Verdict   Verdict
	// Revision is the accepted text's, or the one in force that won the race.
	Revision uint64
	// Reason is why a record was refused or is unjudged.
	Reason error
	// Broken reports a broken invariant; nil in a sound fleet.
	Broken error
}

// Fold is the state of one reader. It is a plain value without a lock: its
// owner serialises the calls.
type Fold struct {
	// next is the offset of the record to be folded next.
	next uint64
	// blind is set when inForce is not known to be in force at next.
	blind bool
	// begin is, for a blind fold, the offset after the hole. A proof for a
	// lower offset would only lead back to the same hole.
	begin   uint64
	inForce Configuration
}

// Next returns the offset of the record to be folded next.
func (f *Fold) Next() uint64 { return f.next }

// Blind reports whether the fold cannot tell what is in force at Next.
func (f *Fold) Blind() bool { return f.blind }

// InForce returns the newest configuration that the fold has proved.
func (f *Fold) InForce() Configuration { return f.inForce }

// Skip tells the fold that the log keeps no record below oldest. It reports
// whether that opened a hole.
func (f *Fold) Skip(oldest uint64) bool {
	if oldest <= f.next {
		return false
	}
	f.lose(oldest)
	return true
}

// lose makes the fold blind until a proof at or above the offset is found.
func (f *Fold) lose(offset uint64) {
	f.blind = true
	f.begin = offset
	f.next = offset
}

// Apply folds the record at the offset, which must be Next. A snapshot that
// ends a blind fold may move Next back to the offset that it proves, so that
// the records in between are read again and judged.
func (f *Fold) Apply(offset uint64, payload []byte) (Outcome, error) {
	if offset != f.next {
		return Outcome{}, fmt.Errorf("fold stream %s: offset %d where %d is next", Stream, offset, f.next)
	}
	f.next++
	out := Outcome{Offset: offset}
	r, err := ParseRecord(payload)
	out.PublishID = r.PublishID
	switch {
	case err != nil && isNewer(err):
		f.lose(f.next)
		out.Verdict, out.Reason = VerdictUnjudged, err
	case err != nil:
		out.Verdict, out.Reason = VerdictRefused, err
	case r.Kind == KindSnapshot:
		f.snapshot(&r, &out)
	default:
		f.publish(&r, &out)
	}
	return out, nil
}

func (f *Fold) publish(r *Record, out *Outcome) {
	if f.blind {
		out.Verdict = VerdictUnjudged
		out.Reason = fmt.Errorf("the log has forgotten records before offset %d", f.begin)
		return
	}
	data := []byte(r.Text)
	doc, err := text.Parse(data)
	switch {
	case err != nil && isNewer(err):
		f.lose(f.next)
		out.Verdict, out.Reason = VerdictUnjudged, err
	case err != nil:
		out.Verdict, out.Reason = VerdictRefused, err
	case doc.BasedOn != r.BasedOn || r.BasedOn > f.inForce.Revision:
		out.Verdict, out.Reason = VerdictRefused, f.wrongBase(r, doc)
	case r.BasedOn < f.inForce.Revision:
		out.Verdict, out.Revision = VerdictLostRace, f.inForce.Revision
	default:
		v := Version{Revision: f.inForce.Revision + 1, Offset: out.Offset, Hash: Hash(data)}
		f.inForce = Configuration{Version: v, Text: data, Document: doc}
		out.Verdict, out.Revision = VerdictAccepted, v.Revision
	}
}

func (f *Fold) wrongBase(r *Record, doc *text.Document) error {
	var ps problem.Problems
	allowed := fmt.Sprintf("%d, the revision in force", f.inForce.Revision)
	if doc.BasedOn != r.BasedOn {
		allowed = fmt.Sprintf("%d, as the record states", r.BasedOn)
	}
	ps.Add("BasedOn", fmt.Sprint(doc.BasedOn), allowed)
	return ps
}

func (f *Fold) snapshot(r *Record, out *Outcome) {
	out.Verdict, out.Revision = VerdictSnapshot, r.Revision
	v := Version{Revision: r.Revision, Offset: r.Offset, Hash: Hash([]byte(r.Text))}
	if r.FoldedTo > out.Offset {
		out.Verdict, out.Reason = VerdictRefused, fmt.Errorf("snapshot at offset %d folded to %d", out.Offset, r.FoldedTo)
		return
	}
	c, err := Load(v, []byte(r.Text))
	if err != nil {
		out.Verdict, out.Reason = VerdictRefused, err
		return
	}
	_, out.Broken = f.Adopt(c, r.FoldedTo)
}

// Adopt takes a configuration that someone else has proved to be in force at
// the offset foldedTo; every accepted text was so right after its own offset.
// It reports whether the fold's state changed; the error
// reports a broken invariant.
func (f *Fold) Adopt(c Configuration, foldedTo uint64) (bool, error) {
	order, err := f.inForce.Compare(c.Version)
	order = -order // above zero when c is the higher one
	if err != nil {
		return false, fmt.Errorf("adopt a configuration folded to offset %d: %w", foldedTo, err)
	}
	if f.blind {
		return f.adoptBlind(c, foldedTo, order)
	}
	switch {
	case order < 0 && foldedTo > f.next:
		return false, fmt.Errorf("revision %d is in force at offset %d, yet %d was at %d",
			c.Revision, foldedTo, f.inForce.Revision, f.next)
	case order > 0 && foldedTo <= f.next:
		// This reader folded the same records to a lower revision. Taking
		// the higher one lets the fleet agree again; the error tells of it.
		err = fmt.Errorf("revision %d is in force at offset %d, yet %d is at %d",
			c.Revision, foldedTo, f.inForce.Revision, f.next)
		f.inForce = c
		return true, err
	case foldedTo <= f.next:
		return false, nil
	}
	f.inForce, f.next = c, foldedTo
	return true, nil
}

func (f *Fold) adoptBlind(c Configuration, foldedTo uint64, order int) (bool, error) {
	if foldedTo < f.begin {
		// It proves what was in force before the hole, not after it.
		if order > 0 {
			f.inForce = c
			return true, nil
		}
		return false, nil
	}
	if order < 0 {
		return false, fmt.Errorf("revision %d is in force at offset %d, yet %d was before offset %d",
			c.Revision, foldedTo, f.inForce.Revision, f.begin)
	}
	f.inForce, f.next, f.blind = c, foldedTo, false
	return true, nil
}

// Snapshot returns the record that repeats the revision in force before the
// log forgets it; false while the fold is blind or nothing is in force.
func (f *Fold) Snapshot() (Record, bool) {
	if f.blind || f.inForce.Revision == 0 {
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
