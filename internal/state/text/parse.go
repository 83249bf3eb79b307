package text

import (
	"fmt"

	"hyssopreach/internal/state/problem"
)

// MaxBytes bounds the size of the operators' text. A text with a thousand
// organisations and a thousand endpoints is about half a megabyte.
const MaxBytes = 4 << 20

// NewerFormatError is returned for a text in a newer format than this program
// supports. The text may be valid; this program cannot validate it.
type NewerFormatError struct {
	// FormatVersion is the version that the text states.
	FormatVersion int
	// Problems describes the error for an operator.
	Problems problem.Problems
}

// Error returns a message that names the text's version and the supported ones.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("text has format version %d, which this program does not support: %v", e.FormatVersion, e.Problems)
}

// Unwrap returns the problems.
func (e *NewerFormatError) Unwrap() error { return e.Problems }

// Parse parses and validates the operators' text. The error is or wraps
// problem.Problems and lists every fault found; it is a *NewerFormatError for a
// text that only a newer program can validate.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	ps := problem.Decode(data, MaxBytes, doc)
	if len(ps) > 0 && doc.FormatVersion == 0 {
		return nil, ps
	}
	if doc.FormatVersion > FormatVersion {
		newer := &NewerFormatError{FormatVersion: doc.FormatVersion}
		newer.Problems.Add("FormatVersion", formatInt(doc.FormatVersion), "1 to "+formatInt(FormatVersion))
		return nil, newer
	}
	if doc.FormatVersion < 1 {
		ps.Add("FormatVersion", formatInt(doc.FormatVersion), "1 to "+formatInt(FormatVersion))
		return nil, ps
	}
	// These are the rules of version 1. A later version must add its own rules
	// beside them, so that the result for existing texts does not change.
	v := &validator{doc: doc, problems: &ps}
	v.validate()
	if err := ps.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}
