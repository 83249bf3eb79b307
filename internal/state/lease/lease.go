package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Stream is the stream of the log that holds the leases.
const Stream = "Leases"

// FormatVersion is the newest format version of the records that this program
// supports. Lifetime is part of the format.
const FormatVersion = 1

// Lifetime is the duration of a lease from the time of its record by the log's
// clock.
const Lifetime = 10 * time.Second

var (
	// ErrGap means that records are missing between the last one folded and
	// the one passed to Apply.
	ErrGap = errors.New("records are missing")
	// ErrUnsupportedVersion means that a record has a format version that this
	// program does not support.
	ErrUnsupportedVersion = errors.New("record has an unknown format version")
)

// Holder is one incarnation of a router.
type Holder struct {
	Router      string
	Incarnation uint64
}

// Record requests, renews or releases the lease of a pool.
type Record struct {
	FormatVersion int
	Pool          string
	Holder        Holder
	// Nonce distinguishes the records of one holder.
	Nonce uint64
	// Release ends the holder's lease immediately.
	Release bool
}

// Encode returns the payload of the record in the log.
func (r Record) Encode() ([]byte, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode lease of pool %s: %w", r.Pool, err)
	}
	return payload, nil
}

// Decode parses the payload of a record.
func Decode(payload []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return Record{}, fmt.Errorf("decode lease: %w", err)
	}
	return r, nil
}

// Lease is the current lease of a pool.
type Lease struct {
	// Holder is empty if the holder is unknown.
	Holder Holder
	// Fencing is the fencing number of the holder's orders.
	Fencing uint64
	// Until is the end of the lease by the log's clock.
	Until time.Time
}

// Fold is the state that results from applying the records of the stream in
// order.
type Fold struct {
	next       uint64
	incomplete bool
	clock      time.Time
	leases     map[string]Lease
}

// NewFold returns a fold whose next record is at the given offset.
func NewFold(from uint64) *Fold {
	return &Fold{next: from, incomplete: from > 0, leases: map[string]Lease{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() uint64 { return f.next }

// Incomplete reports whether the leases from before the start of the fold are
// unknown.
func (f *Fold) Incomplete() bool { return f.incomplete }

// Lease returns the last lease of a pool, which may have expired; false if
// there has been none.
func (f *Fold) Lease(pool string) (Lease, bool) {
	l, ok := f.leases[pool]
	return l, ok
}

// Apply folds the next record and reports whether it was granted.
func (f *Fold) Apply(offset uint64, appended time.Time, r Record) (bool, error) {
	if offset != f.next {
		return false, fmt.Errorf("fold leases: want offset %d, got %d: %w", f.next, offset, ErrGap)
	}
	if r.FormatVersion > FormatVersion {
		return false, fmt.Errorf("fold leases at offset %d: got format version %d: %w", offset, r.FormatVersion, ErrUnsupportedVersion)
	}
	f.next++
	if appended.After(f.clock) {
		f.clock = appended
	}
	if r.Pool == "" {
		return false, nil
	}
	l, known := f.leases[r.Pool]
	free := known && !f.clock.Before(l.Until) || !known && !f.incomplete
	if !free && l.Holder != r.Holder {
		if l.Holder == (Holder{}) {
			// The holder is unknown, so any record may be its renewal.
			f.leases[r.Pool] = Lease{Until: f.clock.Add(Lifetime)}
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
	f.leases[r.Pool] = Lease{Holder: r.Holder, Fencing: offset, Until: f.clock.Add(Lifetime)}
	return true, nil
}
