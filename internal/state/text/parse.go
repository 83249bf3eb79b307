package text

import (
	"fmt"

	"hyssopreach/internal/state/problem"
)

// MaxBytes bounds the operators' text. A thousand organisations with a
// thousand endpoints take about half a megabyte.
const MaxBytes = 4 << 20

// NewerError is returned for a text in a format that this program does not
// know. The text may be good; this program cannot judge it.
type NewerError struct {
	// FormatVersion is what the text states.
	FormatVersion int
	// Problems tells the same for an operator.
	Problems problem.Problems
}

// Error tells which versions are known.
func (e *NewerError) Error() string {
	return fmt.Sprintf("text of format version %d, newer than this program: %v", e.FormatVersion, e.Problems)
}

// Unwrap returns the problems.
func (e *NewerError) Unwrap() error { return e.Problems }

// Parse reads and judges the operators' text. The error is or wraps
// problem.Problems and tells everything that is wrong; it is a *NewerError for
// a text that only a newer program can judge.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	ps := problem.Decode(data, MaxBytes, doc)
	if len(ps) > 0 && doc.FormatVersion == 0 {
		return nil, ps
	}
	if doc.FormatVersion > FormatVersion {
		newer := &NewerError{FormatVersion: doc.FormatVersion}
		newer.Problems.Add("FormatVersion", number(doc.FormatVersion), "1 to "+number(FormatVersion))
		return nil, newer
	}
	if doc.FormatVersion < 1 {
		ps.Add("FormatVersion", number(doc.FormatVersion), "1 to "+number(FormatVersion))
		return nil, ps
	}
	// The rules below are those of version 1. A later version gets rules of
	// its own beside them, so that old texts are judged as they were.
	v := &validator{doc: doc, problems: &ps}
	v.validate()
	if err := ps.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}
