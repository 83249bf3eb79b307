package claim

import (
	"errors"
	"fmt"
	"time"
)

// ErrGap means that records are missing between the last one folded and the
// one passed to Apply.
var ErrGap = errors.New("records are missing")

// ErrUnsupportedVersion means that a record has a format version that this
// program does not support.
var ErrUnsupportedVersion = errors.New("record has an unknown format version")

// expiringKey is a key of a map with the time at which its entry expires, in
// Unix milliseconds.
type expiringKey[K comparable] struct {
	key       K
	expiresAt int64
}

// winner is a claim that has won. It is compact, because a fold has hundreds of
// thousands of them: the time is in Unix milliseconds and the holder is an
// index of Fold.holders.
type winner struct {
	id          ID
	bodyHash    uint64
	expiresAt   int64
	holderIndex uint32
}

// Fold is the state that results from applying the records of a stream of
// claims. A fold that does not start at the beginning of the stream first loads
// its state from a checkpoint; until then it knows no verdicts.
type Fold struct {
	next  uint64
	clock time.Time
	// loader is nil once the fold is loaded.
	loader *loader
	// barredUntil is the time of the log's clock before which no claim can win.
	barredUntil time.Time

	claims map[Digest]winner
	// voidClaims are the claims that were released or have lost, with their
	// expiry times in Unix milliseconds. A late append of one of them has no
	// effect, even if its key is free by then.
	voidClaims map[ID]int64
	// keyOrder and voidOrder list the keys of the maps in the order of the log,
	// so that no result depends on the iteration order of a map.
	keyOrder  []expiringKey[Digest]
	voidOrder []expiringKey[ID]

	holders       []Holder
	holderIndices map[Holder]uint32
}

// NewFold returns an empty fold whose next record is at the given offset. The
// fold is loaded only if that offset is zero.
func NewFold(from uint64) *Fold {
	f := NewEmptyFold(from)
	if from > 0 {
		f.loader = newLoader(from)
	}
	return f
}

// NewEmptyFold returns a loaded fold whose next record is at the given offset.
// The caller must know that all claims before this offset have expired.
func NewEmptyFold(from uint64) *Fold {
	return &Fold{
		next:   from,
		claims: map[Digest]winner{}, voidClaims: map[ID]int64{},
		holderIndices: map[Holder]uint32{},
	}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() uint64 { return f.next }

// Clock returns the latest time of the log's clock in the records applied.
func (f *Fold) Clock() time.Time { return f.clock }

// BarredUntil returns the time of the log's clock before which no claim can
// win.
func (f *Fold) BarredUntil() time.Time { return f.barredUntil }

// Len returns the number of keys and void claims retained.
func (f *Fold) Len() int { return len(f.claims) + len(f.voidClaims) }

// Loaded reports whether the fold knows all unexpired claims. A fold that loads
// at a bar omits the claims from before the bar, because no claim can win until
// they have expired.
func (f *Fold) Loaded() bool { return f.loader == nil }

// Apply folds the next record and returns the verdict on each claim and release
// in it, in order. The result is empty until the fold is loaded.
func (f *Fold) Apply(r Record) ([]Result, error) {
	if r.Offset != f.next {
		return nil, fmt.Errorf("fold claims: want offset %d, got %d: %w", f.next, r.Offset, ErrGap)
	}
	if r.Batch.FormatVersion > FormatVersion {
		return nil, fmt.Errorf("fold claims at offset %d: got format version %d: %w", f.next, r.Batch.FormatVersion, ErrUnsupportedVersion)
	}
	f.next++
	if f.loader != nil {
		f.loadRecord(&r)
		return nil, nil
	}
	return f.apply(&r), nil
}

func (f *Fold) apply(r *Record) []Result {
	f.advanceClock(r.Appended)
	if until := f.clock.Add(KeyLifetime + MaxClockSkew); r.Batch.Bar && until.After(f.barredUntil) {
		f.barredUntil = until
	}
	results := make([]Result, 0, len(r.Batch.Entries))
	for i := range r.Batch.Entries {
		e := &r.Batch.Entries[i]
		switch e.Kind {
		case KindClaim:
			f.applyClaim(&e.Claim)
			results = append(results, f.Result(&e.Claim))
		case KindRelease:
			f.applyRelease(&e.Claim)
			results = append(results, Result{Claim: e.Claim.ID, Verdict: VerdictReleased})
		}
	}
	return results
}

// Result returns the verdict on a claim at the fold's offset.
func (f *Fold) Result(c *Claim) Result {
	r := Result{Claim: c.ID}
	if f.loader != nil {
		r.Verdict = VerdictBusy
		return r
	}
	w, ok := f.winnerOf(c.Key)
	if ok {
		r.Winner, r.Holder, r.Until = w.id, f.holders[w.holderIndex], time.UnixMilli(w.expiresAt)
	}
	switch {
	case ok && w.id == c.ID:
		r.Verdict = VerdictWon
	case ok && w.bodyHash != c.BodyHash:
		r.Verdict = VerdictMismatch
	case ok:
		r.Verdict = VerdictHeld
	case f.IsVoid(c.ID):
		r.Verdict = VerdictReleased
	case f.keyTimeOutOfRange(c):
		r.Verdict = VerdictExpired
	}
	return r
}

// IsVoid reports whether the claim was released or has lost.
func (f *Fold) IsVoid(id ID) bool {
	until, ok := f.voidClaims[id]
	return ok && until > f.clock.UnixMilli()
}

// applyClaim lets the claim win if its key is free and no bar is in effect, and
// voids it otherwise. A claim that is void or has won already, or whose key has
// a timestamp that is too old or too far in the future, has no effect.
func (f *Fold) applyClaim(c *Claim) {
	if f.IsVoid(c.ID) || f.keyTimeOutOfRange(c) {
		return
	}
	w, ok := f.winnerOf(c.Key)
	if ok && w.id == c.ID {
		return
	}
	if ok || f.clock.Before(f.barredUntil) {
		f.markVoid(c.ID, f.clock.Add(KeyLifetime))
		return
	}
	start := f.clock
	if c.KeyTime.After(start) {
		start = c.KeyTime
	}
	f.setWinner(c, start.Add(KeyLifetime))
}

// applyRelease voids the claim, and frees its key if the claim holds it.
func (f *Fold) applyRelease(c *Claim) {
	f.markVoid(c.ID, f.clock.Add(KeyLifetime))
	if w, ok := f.claims[c.Key]; ok && w.id == c.ID {
		delete(f.claims, c.Key)
	}
}

func (f *Fold) setWinner(c *Claim, expiresAt time.Time) {
	w := winner{id: c.ID, bodyHash: c.BodyHash, expiresAt: expiresAt.UnixMilli(), holderIndex: f.internHolder(c.Holder)}
	f.claims[c.Key] = w
	f.keyOrder = append(f.keyOrder, expiringKey[Digest]{c.Key, w.expiresAt})
}

// markVoid records that a claim is void until the given time.
func (f *Fold) markVoid(id ID, until time.Time) {
	expiresAt := until.UnixMilli()
	if expiresAt > f.voidClaims[id] {
		f.voidClaims[id] = expiresAt
		f.voidOrder = append(f.voidOrder, expiringKey[ID]{id, expiresAt})
	}
}

// winnerOf returns the unexpired claim that holds a key.
func (f *Fold) winnerOf(d Digest) (winner, bool) {
	w, ok := f.claims[d]
	if !ok || w.expiresAt <= f.clock.UnixMilli() {
		return winner{}, false
	}
	return w, true
}

// keyTimeOutOfRange reports whether the timestamp in a key is too old, or is
// more than MaxClockSkew in the future.
func (f *Fold) keyTimeOutOfRange(c *Claim) bool {
	if c.KeyTime.IsZero() {
		return false
	}
	return f.clock.Sub(c.KeyTime) >= KeyLifetime || c.KeyTime.Sub(f.clock) > MaxClockSkew
}

// internHolder returns the index of the holder, adding it if it is new.
func (f *Fold) internHolder(h Holder) uint32 {
	i, ok := f.holderIndices[h]
	if !ok {
		i = uint32(len(f.holders))
		f.holders = append(f.holders, h)
		f.holderIndices[h] = i
	}
	return i
}

// advanceClock advances the fold's clock, which follows the log's clock but
// never goes back, and removes the entries that have expired.
func (f *Fold) advanceClock(at time.Time) {
	if !at.After(f.clock) {
		return
	}
	f.clock = at
	now := f.clock.UnixMilli()
	f.keyOrder = removeExpired(f.keyOrder, now, func(d Digest) {
		if f.claims[d].expiresAt <= now {
			delete(f.claims, d)
		}
	})
	f.voidOrder = removeExpired(f.voidOrder, now, func(id ID) {
		if f.voidClaims[id] <= now {
			delete(f.voidClaims, id)
		}
	})
}

// removeExpired removes the expired entries at the front of the order and
// returns the rest. Entries expire nearly in the order in which they were
// added, so only few expired ones remain behind an unexpired one.
func removeExpired[K comparable](order []expiringKey[K], now int64, remove func(K)) []expiringKey[K] {
	n := 0
	for n < len(order) && order[n].expiresAt <= now {
		remove(order[n].key)
		n++
	}
	return order[n:]
}
