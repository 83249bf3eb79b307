package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// FormatVersion is the newest version of the log's records that this program
// reads. KeyLife, Skew and Ranges belong to the version: changing one of them
// changes what a record means.
const FormatVersion = 1

const (
	// KeyLife is how long a key is remembered after its first claim, or
	// after the instant that the key itself states.
	KeyLife = time.Hour
	// Skew is the difference allowed between the clock of a caller that
	// makes dated keys and the clock of the log.
	Skew = time.Minute
	// Ranges is the number of key ranges; each has a stream and a writer of
	// its own.
	Ranges = 8
)

// Stream returns the name of the log's stream for a key range.
func Stream(keyRange int) string { return "Claims-" + strconv.Itoa(keyRange) }

// ID names one claim. The claimant draws it at random, so that the same claim
// appended twice is known to be one.
type ID [16]byte

// String returns the identifier in hexadecimal.
func (i ID) String() string { return hex.EncodeToString(i[:]) }

// Digest stands for an organisation and its key. It replaces both in the log,
// which keeps records small and keys private.
type Digest [16]byte

// DigestOf returns the digest of an organisation's key.
func DigestOf(organisation, key string) Digest {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(organisation)) + ":" + organisation + key))
	return Digest(sum[:16])
}

// Range returns the key range that the digest belongs to.
func (d Digest) Range() int { return int(d[0]) % Ranges }

// KeyTime returns the instant that a key states for itself. Only a UUID of
// version 7 states one; the result is zero for every other key.
func KeyTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

// Holder is one incarnation of a router, the only place where a claim's
// request may run.
type Holder struct {
	Router      string
	Incarnation uint64
}

// Claim asks for the sole right to run a request.
type Claim struct {
	ID       ID
	Key      Digest
	BodyHash uint64
	Holder   Holder
	// KeyTime is the instant that the key states for itself; zero if none.
	KeyTime time.Time
}

// Kind tells what an entry of the log does.
type Kind uint8

// The kinds of entry.
const (
	// KindClaim makes a claim.
	KindClaim Kind = iota + 1
	// KindRelease gives a claim up; its claimant has sent nothing.
	KindRelease
	// KindCarry repeats a claim that has won, before the log forgets it.
	KindCarry
	// KindVoid repeats that a claim was released or has lost.
	KindVoid
)

// Entry is one step in the life of a claim.
type Entry struct {
	Kind  Kind
	Claim Claim
	// Until is when a carried entry expires.
	Until time.Time
}

// Batch is the content of one record of the log.
type Batch struct {
	FormatVersion int
	Entries       []Entry
	// Series is set on a record with carried entries; nil on others.
	Series *Series
	// Bar keeps every claim from winning for the life of a key. It is
	// appended when the log has forgotten claims that nobody has carried.
	Bar bool
}

// Record is a batch as the log holds it. Appended is the log's own clock.
type Record struct {
	Offset   uint64
	Appended time.Time
	Batch    Batch
}

// Verdict says how a claim stands.
type Verdict uint8

// The verdicts.
const (
	// VerdictFree means that the key has no claim yet.
	VerdictFree Verdict = iota
	// VerdictWon means that the claim is the first for its key.
	VerdictWon
	// VerdictHeld means that another claim was first.
	VerdictHeld
	// VerdictMismatch means that another claim was first, for another body.
	VerdictMismatch
	// VerdictExpired means that the key is too old, or lies in the future.
	VerdictExpired
	// VerdictReleased means that the claim was given up or lost, and that
	// no other holds the key.
	VerdictReleased
	// VerdictBusy means that nothing has been decided: the writer has no room
	// for the claim, or does not know the state of the stream.
	VerdictBusy
)

var verdictNames = [...]string{"Free", "Won", "Held", "Mismatch", "Expired", "Released", "Busy"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "Verdict(" + strconv.Itoa(int(v)) + ")"
}

// Standing is a verdict on a claim with the claim that holds the key.
type Standing struct {
	Claim   ID
	Verdict Verdict
	// Winner and Holder are set when a claim holds the key.
	Winner ID
	Holder Holder
	// Until is the end of the key's life.
	Until time.Time
}
