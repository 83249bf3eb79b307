package text

import (
	"hyssopreach/internal/state/problem"
)

// MaxBytes bounds the operators' text. A thousand organisations with a
// thousand endpoints take about half a megabyte.
const MaxBytes = 4 << 20

// Parse reads and judges the operators' text. The error is of type
// problem.Problems and tells everything that is wrong.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	ps := problem.Decode(data, MaxBytes, doc)
	if len(ps) > 0 && doc.FormatVersion == 0 {
		return nil, ps
	}
	if doc.FormatVersion < 1 || doc.FormatVersion > FormatVersion {
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
