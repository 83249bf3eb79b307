package revision

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/text"
)

// Stream is the log's stream that holds published texts.
const Stream = "Configuration"

// Version identifies an accepted text.
type Version struct {
	// Revision increases by one with each accepted text; 0 means none.
	Revision uint64
	// Offset is the offset of the record by which the text was first published.
	Offset uint64
	// Hash is the text's 64-bit xxHash.
	Hash uint64
}

// DivergedError reports an invariant violation: two texts with the same
// revision.
type DivergedError struct{ Ours, Theirs Version }

// Error returns a message that identifies both texts.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("revision %d has two texts: offset %d hash %016x and offset %d hash %016x",
		e.Ours.Revision, e.Ours.Offset, e.Ours.Hash, e.Theirs.Offset, e.Theirs.Hash)
}

// Compare returns -1, 0 or 1 if v is lower than, equal to or higher than other.
// All readers use the higher version, and a lower one never replaces it. The
// error is a *DivergedError if both have the same revision but differ
// otherwise.
func (v Version) Compare(other Version) (int, error) {
	if order := cmp.Compare(v.Revision, other.Revision); order != 0 {
		return order, nil
	}
	if v != other {
		return 0, &DivergedError{Ours: v, Theirs: other}
	}
	return 0, nil
}

// Hash returns the hash that identifies a text.
func Hash(data []byte) uint64 { return xxhash.Sum64(data) }

// Configuration is an accepted text with its version.
type Configuration struct {
	Version
	Text []byte
	// Document is the parsed text; nil if no text is in force or if this
	// program does not support the text's format.
	Document *text.Document
}

// Load parses a text that another reader has accepted. The document is nil if
// only a newer program can parse the text.
func Load(v Version, data []byte) (Configuration, error) {
	c := Configuration{Version: v, Text: data}
	if hash := Hash(data); hash != v.Hash {
		return c, fmt.Errorf("text of revision %d: got hash %016x, want %016x", v.Revision, hash, v.Hash)
	}
	doc, err := text.Parse(data)
	if err != nil && !isNewerFormat(err) {
		return c, fmt.Errorf("text of revision %d: %w", v.Revision, err)
	}
	c.Document = doc
	return c, nil
}
