package claim

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrHole means that records between the fold and the read are missing.
var ErrHole = errors.New("records are missing")

// ErrVersion means that a record has a format that this program cannot read.
var ErrVersion = errors.New("record has an unknown format version")

// sweepEvery is the log time between two removals of expired keys.
const sweepEvery = time.Minute

// held is a claim that won; instants are in Unix milliseconds and holders are
// indices, since a fold keeps hundreds of thousands of them.
type held struct {
	id       ID
	bodyHash uint64
	until    int64
	holder   uint32
	// sure is set when the fold knew every living claim as this one was
	// made. A claim that is not sure keeps its key from others, yet is never
	// declared the winner.
	sure bool
	// also are further claims that were carried for the same key; the key is
	// free only when all of them have been released.
	also *[]held
}

// Fold is the state that a stream of claims adds up to.
type Fold struct {
	next    uint64
	started uint64
	firstAt time.Time
	clock   time.Time
	swept   time.Time
	checked bool
	claims  map[Digest]held
	// order holds the keys as they were first claimed, so that what is
	// derived from the fold does not depend on the order of a map.
	order []Digest
	// void are the claims that were released or lost. A late append of one
	// of them changes nothing, although its key may be free by then.
	void        map[ID]int64
	holders     []Holder
	holderIndex map[Holder]uint32
}

// NewFold returns an empty fold that expects the record at the given offset.
func NewFold(from uint64) *Fold {
	return &Fold{
		next: from, started: from,
		claims:      map[Digest]held{},
		void:        map[ID]int64{},
		holderIndex: map[Holder]uint32{},
	}
}

// Next returns the offset of the record that the fold expects.
func (f *Fold) Next() uint64 { return f.next }

// Clock returns the latest instant that the log has stated.
func (f *Fold) Clock() time.Time { return f.clock }

// Len returns the number of keys kept.
func (f *Fold) Len() int { return len(f.claims) }

// Complete reports whether the fold knows every claim that still matters:
// it began with the stream, or its first record is so old that all before it
// have expired, or a checkpoint has repeated what came before it.
func (f *Fold) Complete() bool {
	if f.started == 0 || f.checked {
		return true
	}
	return !f.firstAt.IsZero() && f.clock.Sub(f.firstAt) > KeyLife+Skew
}

// Apply folds the next record and returns how each claim and release in it
// stands after it, in order.
func (f *Fold) Apply(r Record) ([]Standing, error) {
	if r.Offset != f.next {
		return nil, fmt.Errorf("fold claims at offset %d, found %d: %w", f.next, r.Offset, ErrHole)
	}
	if r.Batch.FormatVersion > FormatVersion {
		return nil, fmt.Errorf("fold claims at offset %d, version %d: %w", f.next, r.Batch.FormatVersion, ErrVersion)
	}
	f.next++
	f.advance(r.Appended)
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
		case KindCarry:
			f.carry(e)
		}
	}
	if r.Batch.Checkpoint > 0 && r.Batch.Checkpoint >= f.started {
		f.checked = true
	}
	return standings, nil
}

// Standing tells how a claim stands at the fold's offset.
func (f *Fold) Standing(c *Claim) Standing {
	s := Standing{Claim: c.ID}
	h, ok := f.living(c.Key)
	if ok {
		s.Winner, s.Holder, s.Until = h.id, f.holders[h.holder], time.UnixMilli(h.until)
	}
	switch {
	case ok && h.id == c.ID && h.sure:
		s.Verdict = VerdictWon
	case ok && h.id == c.ID:
		s.Verdict = VerdictBusy
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

// Living returns the keys with a living claim, in the order of their claims.
// A key that was released and claimed again may come twice.
func (f *Fold) Living() []Digest {
	keys := make([]Digest, 0, len(f.claims))
	for _, d := range f.order {
		if _, ok := f.living(d); ok {
			keys = append(keys, d)
		}
	}
	return keys
}

// Carry returns the entries that repeat the claims of the given key.
func (f *Fold) Carry(d Digest) []Entry {
	h, ok := f.living(d)
	if !ok {
		return nil
	}
	entries := []Entry{f.carried(d, &h)}
	if h.also != nil {
		for i := range *h.also {
			entries = append(entries, f.carried(d, &(*h.also)[i]))
		}
	}
	return entries
}

func (f *Fold) carried(d Digest, h *held) Entry {
	return Entry{
		Kind:  KindCarry,
		Until: time.UnixMilli(h.until),
		Sure:  h.sure,
		Claim: Claim{ID: h.id, Key: d, BodyHash: h.bodyHash, Holder: f.holders[h.holder]},
	}
}

func (f *Fold) claim(c *Claim) {
	if f.Void(c.ID) || f.expired(c) {
		return
	}
	if h, ok := f.living(c.Key); ok {
		if len(h.without(c.ID)) == h.count() {
			f.avoid(c.ID)
		}
		return
	}
	born := f.clock
	if c.KeyTime.After(born) {
		born = c.KeyTime
	}
	f.insert(c.Key, held{
		id: c.ID, bodyHash: c.BodyHash, holder: f.intern(c.Holder),
		until: born.Add(KeyLife).UnixMilli(), sure: f.Complete(),
	})
}

// release frees the key if the claim holds it.
func (f *Fold) release(c *Claim) {
	f.avoid(c.ID)
	h, ok := f.living(c.Key)
	if !ok {
		return
	}
	rest := h.without(c.ID)
	if len(rest) == 0 {
		delete(f.claims, c.Key)
		return
	}
	f.claims[c.Key] = joined(rest)
}

func (f *Fold) carry(e *Entry) {
	if f.Void(e.Claim.ID) || !f.clock.Before(e.Until) {
		return
	}
	add := held{
		id: e.Claim.ID, bodyHash: e.Claim.BodyHash,
		holder: f.intern(e.Claim.Holder), until: e.Until.UnixMilli(), sure: e.Sure,
	}
	h, ok := f.living(e.Claim.Key)
	if !ok {
		f.insert(e.Claim.Key, add)
		return
	}
	rest := h.without(add.id)
	switch {
	case len(rest) == 0:
		h.sure = h.sure || add.sure
		f.claims[e.Claim.Key] = h
	case add.sure:
		// It had won before this fold began, so it goes first and the claim
		// found here stays behind it.
		f.claims[e.Claim.Key] = joined(append([]held{add}, rest...))
	default:
		f.claims[e.Claim.Key] = joined(append(rest, add))
	}
}

func (f *Fold) insert(d Digest, h held) {
	if _, ok := f.claims[d]; !ok {
		f.order = append(f.order, d)
	}
	f.claims[d] = h
}

func (f *Fold) avoid(id ID) { f.void[id] = f.clock.Add(KeyLife).UnixMilli() }

// Void reports whether the claim was released or has lost.
func (f *Fold) Void(id ID) bool {
	_, ok := f.void[id]
	return ok
}

func (h held) count() int {
	if h.also == nil {
		return 1
	}
	return 1 + len(*h.also)
}

func (h held) without(id ID) []held {
	all := []held{h}
	if h.also != nil {
		all = append(all, *h.also...)
	}
	rest := all[:0]
	for _, c := range all {
		if c.id != id {
			c.also = nil
			rest = append(rest, c)
		}
	}
	return rest
}

func joined(all []held) held {
	first := all[0]
	if len(all) > 1 {
		also := all[1:]
		first.also = &also
		for i := range also {
			first.until = max(first.until, also[i].until)
		}
	}
	return first
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
// and now and then removes what has expired.
func (f *Fold) advance(at time.Time) {
	if f.firstAt.IsZero() {
		f.firstAt, f.swept = at, at
	}
	if at.After(f.clock) {
		f.clock = at
	}
	if f.clock.Sub(f.swept) < sweepEvery {
		return
	}
	f.swept = f.clock
	limit := f.clock.UnixMilli()
	for d, h := range f.claims {
		if h.until <= limit {
			delete(f.claims, d)
		}
	}
	f.order = slices.DeleteFunc(f.order, func(d Digest) bool {
		_, ok := f.claims[d]
		return !ok
	})
	for id, until := range f.void {
		if until <= limit {
			delete(f.void, id)
		}
	}
}
