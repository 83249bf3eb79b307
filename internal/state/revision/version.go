package revision

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/text"
)

// Stream is the log's stream that holds published texts.
const Stream = "Configuration"

// Version identifies a text that was accepted.
type Version struct {
	// Revision grows by one with each accepted text; 0 means none.
	Revision uint64
	// Offset is where the text was first published.
	Offset uint64
	// Hash is the text's 64-bit xxHash.
	Hash uint64
}

// DivergedError reports a broken invariant: two texts with one revision.
type DivergedError struct{ Ours, Theirs Version }

// Error names both texts.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("revision %d stands for two texts: offset %d hash %016x and offset %d hash %016x",
		e.Ours.Revision, e.Ours.Offset, e.Ours.Hash, e.Theirs.Offset, e.Theirs.Hash)
}

// Compare returns -1, 0 or 1 as v is lower than, equal to or higher than
// other. The higher one wins everywhere and a lower one never replaces it.
// The error is a *DivergedError when both have one revision and differ.
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

// Configuration is an accepted text.
type Configuration struct {
	Version
	Text []byte
	// Document is the parsed text; nil when nothing is in force or when the
	// text's format is newer than this program.
	Document *text.Document
}

// Load parses a text that was accepted elsewhere. The document stays nil when
// only a newer program can read the text.
func Load(v Version, data []byte) (Configuration, error) {
	c := Configuration{Version: v, Text: data}
	if hash := Hash(data); hash != v.Hash {
		return c, fmt.Errorf("text of revision %d: hash %016x in place of %016x", v.Revision, hash, v.Hash)
	}
	doc, err := text.Parse(data)
	if err != nil && !isNewer(err) {
		return c, fmt.Errorf("text of revision %d: %w", v.Revision, err)
	}
	c.Document = doc
	return c, nil
}
