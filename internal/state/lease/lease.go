package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Stream is the stream of the log that holds the leases.
const Stream = "Leases"

// FormatVersion is the newest version of the records that this program reads.
// Life belongs to it.
const FormatVersion = 1

// Life is how long a lease holds after its record at the log's clock.
const Life = 10 * time.Second

var (
	// ErrHole means that records between the fold and the read are missing.
	ErrHole = errors.New("records are missing")
	// ErrVersion means that a record has a format that this program cannot
	// read.
	ErrVersion = errors.New("record has an unknown format version")
)

// Holder is one incarnation of a router.
type Holder struct {
	Router      string
	Incarnation uint64
}

// Record asks for the lease of a pool, or renews it, or gives it up.
type Record struct {
	FormatVersion int
	Pool          string
	Holder        Holder
	// Nonce tells the records of one holder apart.
	Nonce uint64
	// Release ends the lease at once.
	Release bool
}

// Encode returns the record's payload.
func (r Record) Encode() ([]byte, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode lease of pool %s: %w", r.Pool, err)
	}
	return payload, nil
}

// Decode reads a payload.
func Decode(payload []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return Record{}, fmt.Errorf("decode lease: %w", err)
	}
	return r, nil
}

// Lease is the lease of a pool as it stands.
type Lease struct {
	// Holder is empty if the lease is held by somebody unknown.
	Holder  Holder
	Fencing uint64
	// Until is the end of the lease at the log's clock.
	Until time.Time
}

// Fold is the state that the stream adds up to.
type Fold struct {
	next   uint64
	blind  bool
	clock  time.Time
	leases map[string]Lease
}

// NewFold returns a fold that expects the record at the given offset.
func NewFold(from uint64) *Fold {
	return &Fold{next: from, blind: from > 0, leases: map[string]Lease{}}
}

// Next returns the offset of the record that the fold expects.
func (f *Fold) Next() uint64 { return f.next }

// Blind reports whether the fold does not know the leases from before its
// start.
func (f *Fold) Blind() bool { return f.blind }

// Lease returns the lease of a pool; false if there has been none.
func (f *Fold) Lease(pool string) (Lease, bool) {
	l, ok := f.leases[pool]
	return l, ok
}

// Apply folds the next record and reports whether it was granted.
func (f *Fold) Apply(offset uint64, appended time.Time, r Record) (bool, error) {
	if offset != f.next {
		return false, fmt.Errorf("fold leases at offset %d, found %d: %w", f.next, offset, ErrHole)
	}
	if r.FormatVersion > FormatVersion {
		return false, fmt.Errorf("fold leases at offset %d, version %d: %w", offset, r.FormatVersion, ErrVersion)
	}
	f.next++
	if appended.After(f.clock) {
		f.clock = appended
	}
	if r.Pool == "" {
		return false, nil
	}
	l, known := f.leases[r.Pool]
	free := known && !f.clock.Before(l.Until) || !known && !f.blind
	if !free && l.Holder != r.Holder {
		if l.Holder == (Holder{}) {
			// Who holds the lease is unknown; any record may renew it.
			f.leases[r.Pool] = Lease{Until: f.clock.Add(Life)}
		}
		return false, nil
	}
	if r.Release {
		if l.Holder == r.Holder {
			l.Until = f.clock
			f.leases[r.Pool] = l
		}
		return false, nil
	}
	f.leases[r.Pool] = Lease{Holder: r.Holder, Fencing: offset, Until: f.clock.Add(Life)}
	return true, nil
}
