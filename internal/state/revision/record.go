package revision

import (
	"encoding/json"
	"errors"
	"fmt"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/text"
)

// RecordVersion is the newest format of records that this program knows.
const RecordVersion = 1

// MaxRecordBytes bounds a record. JSON writes a byte of the text in at most
// six bytes.
const MaxRecordBytes = 6*text.MaxBytes + 4<<10

// Kind tells what a record of the stream is.
type Kind string

// The kinds of record.
const (
	// KindPublish is a text that an operator publishes.
	KindPublish Kind = "Publish"
	// KindSnapshot repeats the text in force before the log forgets it.
	KindSnapshot Kind = "Snapshot"
)

// Record is a record of the stream.
type Record struct {
	// FormatVersion selects the rules by which the record is read.
	FormatVersion int
	Kind          Kind
	// PublishID names a publish. A publisher that got no answer to its append
	// may append again under the same PublishID: at most one is accepted.
	PublishID string
	// BasedOn is the revision that must be in force for a publish to be
	// accepted.
	BasedOn uint64
	// Text is the operators' text, byte by byte.
	Text string
	// Revision and Offset are a snapshot's: what was first accepted, where.
	Revision uint64
	Offset   uint64
	// FoldedTo is a snapshot's proof: its author had folded every record
	// below this offset, and Revision was in force there.
	FoldedTo uint64
}

// NewPublish returns the record of a publish.
func NewPublish(id string, basedOn uint64, data []byte) Record {
	return Record{FormatVersion: RecordVersion, Kind: KindPublish, PublishID: id, BasedOn: basedOn, Text: string(data)}
}

// Encode returns the record as it stands in the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of stream %s: %w", Stream, err)
	}
	return data, nil
}

// errNewer marks what only a newer program can judge.
var errNewer = errors.New("newer format than this program knows")

func isNewer(err error) bool {
	var newer *text.NewerError
	return errors.Is(err, errNewer) || errors.As(err, &newer)
}

// ParseRecord reads a record. A payload that is no record at all is refused
// by every program version alike; so is one of this version that has faults.
func ParseRecord(payload []byte) (Record, error) {
	var r Record
	ps := problem.Decode(payload, MaxRecordBytes, &r)
	if r.FormatVersion > RecordVersion {
		return r, fmt.Errorf("record of format version %d: %w", r.FormatVersion, errNewer)
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
			ps.Add("PublishID", "nothing", "the publish's own identifier")
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
