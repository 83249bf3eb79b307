package claim

import (
	"errors"
	"fmt"
	"time"
)

// ErrHole means that records between the fold and the read are missing.
var ErrHole = errors.New("records are missing")

// ErrVersion means that a record has a format that this program cannot read.
var ErrVersion = errors.New("record has an unknown format version")

// dated is a key of a map with the instant, in Unix milliseconds, at which its
// entry expires.
type dated[K comparable] struct {
	key   K
	until int64
}

// held is a claim that won; instants are in Unix milliseconds and holders are
// indices, since a fold keeps hundreds of thousands of them.
type held struct {
	id       ID
	bodyHash uint64
	until    int64
	holder   uint32
}

// Fold is the state that a stream of claims adds up to. A fold that does not
// begin with the stream loads its state from a series of carried entries
// first; until then it knows no standings.
type Fold struct {
	next    uint64
	clock   time.Time
	loading *loading
	// barredUntil is the log time before which no claim can win.
	barredUntil time.Time

	claims map[Digest]held
	// void are the claims that were released or have lost. A late append of
	// one of them changes nothing, although its key may be free by then.
	void map[ID]int64
	// keys and voids hold what the maps hold in the order of the log, so
	// that nothing derived from the fold depends on the order of a map.
	keys  []dated[Digest]
	voids []dated[ID]

	holders     []Holder
	holderIndex map[Holder]uint32
}

// NewFold returns an empty fold that expects the record at the given offset.
// It knows the state of the stream only if that offset is zero.
func NewFold(from uint64) *Fold {
	f := NewEmptyFold(from)
	if from > 0 {
		f.loading = newLoading(from)
	}
	return f
}

// NewEmptyFold returns a fold that expects the record at the given offset and
// knows that no claim made before it is alive.
func NewEmptyFold(from uint64) *Fold {
	return &Fold{
		next:   from,
		claims: map[Digest]held{}, void: map[ID]int64{},
		holderIndex: map[Holder]uint32{},
	}
}

// Next returns the offset of the record that the fold expects.
func (f *Fold) Next() uint64 { return f.next }

// Clock returns the latest instant that the log has stated.
func (f *Fold) Clock() time.Time { return f.clock }

// BarredUntil returns the log time before which no claim can win.
func (f *Fold) BarredUntil() time.Time { return f.barredUntil }

// Len returns the number of keys and void claims kept.
func (f *Fold) Len() int { return len(f.claims) + len(f.void) }

// Loaded reports whether the fold knows every claim that still matters.
func (f *Fold) Loaded() bool { return f.loading == nil }

// Apply folds the next record and returns how each claim and release in it
// stands after it, in order. The result is empty until the fold is loaded.
func (f *Fold) Apply(r Record) ([]Standing, error) {
	if r.Offset != f.next {
		return nil, fmt.Errorf("fold claims at offset %d, found %d: %w", f.next, r.Offset, ErrHole)
	}
	if r.Batch.FormatVersion > FormatVersion {
		return nil, fmt.Errorf("fold claims at offset %d, version %d: %w", f.next, r.Batch.FormatVersion, ErrVersion)
	}
	f.next++
	if f.loading != nil {
		f.load(&r)
		return nil, nil
	}
	return f.apply(&r), nil
}

func (f *Fold) apply(r *Record) []Standing {
	f.advance(r.Appended)
	if until := f.clock.Add(KeyLife + Skew); r.Batch.Bar && until.After(f.barredUntil) {
		f.barredUntil = until
	}
	standings := make([]Standing, 0, len(r.Batch.Entries))
	for i := range r.Batch.Entries {
		e := &r.Batch.Entries[i]
		switch e.Kind {
		case KindClaim:
			f.claim(&e.Claim)
			standings = append(standings, f.Standing(&e.Claim))
		case KindRelease:
			f.release(&e.Claim)
			standings = append(standings, Standing{Claim: e.Claim.ID, Verdict: VerdictReleased})
		}
	}
	return standings
}

// Standing tells how a claim stands at the fold's offset.
func (f *Fold) Standing(c *Claim) Standing {
	s := Standing{Claim: c.ID}
	if f.loading != nil {
		s.Verdict = VerdictBusy
		return s
	}
	h, ok := f.living(c.Key)
	if ok {
		s.Winner, s.Holder, s.Until = h.id, f.holders[h.holder], time.UnixMilli(h.until)
	}
	switch {
	case ok && h.id == c.ID:
		s.Verdict = VerdictWon
	case ok && h.bodyHash != c.BodyHash:
		s.Verdict = VerdictMismatch
	case ok:
		s.Verdict = VerdictHeld
	case f.Void(c.ID):
		s.Verdict = VerdictReleased
	case f.expired(c):
		s.Verdict = VerdictExpired
	}
	return s
}

// Void reports whether the claim was released or has lost.
func (f *Fold) Void(id ID) bool {
	until, ok := f.void[id]
	return ok && until > f.clock.UnixMilli()
}

func (f *Fold) claim(c *Claim) {
	if f.Void(c.ID) || f.expired(c) {
		return
	}
	h, ok := f.living(c.Key)
	if ok && h.id == c.ID {
		return
	}
	if ok || f.clock.Before(f.barredUntil) {
		f.avoid(c.ID, f.clock.Add(KeyLife))
		return
	}
	born := f.clock
	if c.KeyTime.After(born) {
		born = c.KeyTime
	}
	f.hold(c, born.Add(KeyLife))
}

// release frees the key if the claim holds it.
func (f *Fold) release(c *Claim) {
	f.avoid(c.ID, f.clock.Add(KeyLife))
	if h, ok := f.claims[c.Key]; ok && h.id == c.ID {
		delete(f.claims, c.Key)
	}
}

func (f *Fold) hold(c *Claim, until time.Time) {
	h := held{id: c.ID, bodyHash: c.BodyHash, until: until.UnixMilli(), holder: f.intern(c.Holder)}
	f.claims[c.Key] = h
	f.keys = append(f.keys, dated[Digest]{c.Key, h.until})
}

func (f *Fold) avoid(id ID, until time.Time) {
	at := until.UnixMilli()
	if at > f.void[id] {
		f.void[id] = at
		f.voids = append(f.voids, dated[ID]{id, at})
	}
}

// living returns the claim that holds a key and has not expired.
func (f *Fold) living(d Digest) (held, bool) {
	h, ok := f.claims[d]
	if !ok || h.until <= f.clock.UnixMilli() {
		return held{}, false
	}
	return h, true
}

// expired reports whether a dated key is too old or lies in the future.
func (f *Fold) expired(c *Claim) bool {
	if c.KeyTime.IsZero() {
		return false
	}
	return f.clock.Sub(c.KeyTime) >= KeyLife || c.KeyTime.Sub(f.clock) > Skew
}

func (f *Fold) intern(h Holder) uint32 {
	i, ok := f.holderIndex[h]
	if !ok {
		i = uint32(len(f.holders))
		f.holders = append(f.holders, h)
		f.holderIndex[h] = i
	}
	return i
}

// advance moves the fold's clock, which follows the log's and never falls,
// and removes what has expired.
func (f *Fold) advance(at time.Time) {
	if !at.After(f.clock) {
		return
	}
	f.clock = at
	now := f.clock.UnixMilli()
	f.keys = sweep(f.keys, now, func(d Digest) {
		if f.claims[d].until <= now {
			delete(f.claims, d)
		}
	})
	f.voids = sweep(f.voids, now, func(id ID) {
		if f.void[id] <= now {
			delete(f.void, id)
		}
	})
}

// sweep takes expired entries off the front of an order. Entries expire nearly
// in the order in which they were made, so few wait behind one that lives.
func sweep[K comparable](order []dated[K], now int64, remove func(K)) []dated[K] {
	n := 0
	for n < len(order) && order[n].until <= now {
		remove(order[n].key)
		n++
	}
	return order[n:]
}
