package revision

import (
	"encoding/json"
	"errors"
	"fmt"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/text"
)

// RecordVersion is the newest format version of records that this program
// supports.
const RecordVersion = 1

// MaxRecordBytes bounds the size of a record. JSON encodes a byte of the text
// in at most six bytes.
const MaxRecordBytes = 6*text.MaxBytes + 4<<10

// Kind is the kind of a record of the stream.
type Kind string

// The kinds of record.
const (
	// KindPublish is a text that an operator publishes.
	KindPublish Kind = "Publish"
	// KindSnapshot repeats the text in force before the log discards the
	// original.
	KindSnapshot Kind = "Snapshot"
)

// Record is a record of the stream.
type Record struct {
	// FormatVersion selects the rules by which the record is parsed.
	FormatVersion int
	Kind          Kind
	// PublishID identifies a publish. A publisher whose append got no answer
	// may append again with the same PublishID: at most one of the records is
	// accepted.
	PublishID string
	// BasedOn is the revision that must be in force for a publish to be
	// accepted.
	BasedOn uint64
	// Text is the operators' text, byte for byte.
	Text string
	// Revision and Offset are set in a snapshot: the revision of the text, and
	// the offset at which it was accepted first.
	Revision uint64
	Offset   uint64
	// FoldedTo is set in a snapshot: its author had folded all records below
	// this offset, and Revision was in force there.
	FoldedTo uint64
}

// NewPublish returns the record that publishes a text based on a revision.
func NewPublish(id string, basedOn uint64, data []byte) Record {
	return Record{FormatVersion: RecordVersion, Kind: KindPublish, PublishID: id, BasedOn: basedOn, Text: string(data)}
}

// Encode returns the record in the form that is stored in the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of stream %s: %w", Stream, err)
	}
	return data, nil
}

// errNewerFormat marks records that only a newer program can validate.
var errNewerFormat = errors.New("newer than the formats that this program supports")

// isNewerFormat reports whether the error is due to a record or a text in a
// newer format than this program supports.
func isNewerFormat(err error) bool {
	var newer *text.NewerFormatError
	return errors.Is(err, errNewerFormat) || errors.As(err, &newer)
}

// ParseRecord parses a record. A payload that is not a record is refused by all
// program versions, and so is an invalid record of a version that they support.
// The error for a newer version wraps errNewerFormat; the fold treats it as a
// gap.
func ParseRecord(payload []byte) (Record, error) {
	var r Record
	ps := problem.Decode(payload, MaxRecordBytes, &r)
	if r.FormatVersion > RecordVersion {
		return r, fmt.Errorf("record of format version %d: %w", r.FormatVersion, errNewerFormat)
	}
	if len(ps) > 0 {
		return r, ps
	}
	if r.FormatVersion < 1 {
		ps.Add("FormatVersion", fmt.Sprint(r.FormatVersion), fmt.Sprintf("1 to %d", RecordVersion))
	}
	switch r.Kind {
	case KindPublish:
		if r.PublishID == "" {
			ps.Add("PublishID", "nothing", "a unique identifier of the publish")
		}
	case KindSnapshot:
		if r.Revision == 0 || r.Offset >= r.FoldedTo {
			ps.Add("FoldedTo", fmt.Sprint(r.FoldedTo), "above Offset, with Revision above 0")
		}
	default:
		ps.Add("Kind", fmt.Sprintf("%q", string(r.Kind)), `"Publish" or "Snapshot"`)
	}
	return r, ps.Err()
}
