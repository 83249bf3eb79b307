package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// FormatVersion is the newest format version of the log's records that this
// program supports. KeyLifetime, MaxClockSkew and Ranges are part of the
// format: changing one of them changes the meaning of existing records.
const FormatVersion = 1

const (
	// KeyLifetime is the lifetime of a key after its first claim or after the
	// timestamp in the key, whichever is later.
	KeyLifetime = time.Hour
	// MaxClockSkew is the allowed difference between the clock of a caller that
	// creates keys with a timestamp and the clock of the log.
	MaxClockSkew = time.Minute
	// Ranges is the number of key ranges. Each range has its own stream of the
	// log and its own writer.
	Ranges = 8
)

// Stream returns the name of the log's stream for a key range.
func Stream(keyRange int) string { return "Claims-" + strconv.Itoa(keyRange) }

// ID identifies a claim. The claimant chooses it at random, so that a claim
// that is appended twice is recognised as the same one.
type ID [16]byte

// String returns the identifier in hexadecimal.
func (i ID) String() string { return hex.EncodeToString(i[:]) }

// Digest is a hash of an organisation's name and of the idempotency key of one
// of its requests. It replaces both in the log, which keeps the records small
// and the keys confidential.
type Digest [16]byte

// DigestOf returns the digest of the idempotency key of an organisation's
// request.
func DigestOf(organisation, key string) Digest {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(organisation)) + ":" + organisation + key))
	return Digest(sum[:16])
}

// Range returns the key range that the digest belongs to.
func (d Digest) Range() int { return int(d[0]) % Ranges }

// KeyTime returns the timestamp in a key. Only a UUID of version 7 contains
// one; the result is zero for every other key.
func KeyTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

// Holder is one incarnation of a router. Only the holder of a claim may run the
// request.
type Holder struct {
	Router      string
	Incarnation uint64
}

// Claim claims the exclusive right to run a request.
type Claim struct {
	ID       ID
	Key      Digest
	BodyHash uint64
	Holder   Holder
	// KeyTime is the timestamp in the key; zero if the key has none.
	KeyTime time.Time
}

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entry.
const (
	// KindClaim makes a claim.
	KindClaim Kind = iota + 1
	// KindRelease releases a claim whose claimant has sent nothing.
	KindRelease
	// KindCarry repeats a claim that has won, before the log discards it.
	KindCarry
	// KindVoid repeats that a claim was released or has lost.
	KindVoid
)

// Entry is one operation on a claim.
type Entry struct {
	Kind  Kind
	Claim Claim
	// Until is the expiry time of a carried entry.
	Until time.Time
}

// Batch is the content of one record of the log.
type Batch struct {
	FormatVersion int
	Entries       []Entry
	// Checkpoint is set in a record that belongs to a checkpoint; nil in others.
	Checkpoint *Checkpoint
	// Bar prevents all claims from winning for KeyLifetime plus MaxClockSkew,
	// after which all earlier claims have expired. It is appended if the log
	// has discarded claims that no checkpoint repeats.
	Bar bool
}

// Record is a batch in the log. Appended is the time of the append by the log's
// clock.
type Record struct {
	Offset   uint64
	Appended time.Time
	Batch    Batch
}

// Verdict is the result of a claim.
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
	// VerdictExpired means that the timestamp in the key is too old, or is more
	// than MaxClockSkew in the future.
	VerdictExpired
	// VerdictReleased means that the claim was released or has lost, and that
	// no other claim holds the key.
	VerdictReleased
	// VerdictBusy means that nothing has been decided: the writer has no
	// capacity for the claim, or does not know the state of the stream.
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

// Result is the verdict on a claim, with the claim that holds the key.
type Result struct {
	Claim   ID
	Verdict Verdict
	// Winner and Holder are set when a claim holds the key.
	Winner ID
	Holder Holder
	// Until is the end of the key's lifetime.
	Until time.Time
}
