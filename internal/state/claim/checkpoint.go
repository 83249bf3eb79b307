package claim

import "time"

// Checkpoint identifies a record as part of a checkpoint: a series of records
// that repeats the state of a stream before the log discards it.
type Checkpoint struct {
	// From is the offset at which the checkpoint starts: its state includes all
	// records below. Checkpoints with the same From repeat the same state.
	From uint64
	// Final is set in the last record of the checkpoint: all entries of the
	// state have been appended in it or before it.
	Final bool
	// Clock and BarredUntil are those of the fold at From. They are set in the
	// last record only.
	Clock       time.Time
	BarredUntil time.Time
}

// Item is one entry of a fold's state at the time of the call of Items: a key
// with the claim that holds it, or, if the key is zero, a void claim: one that
// was released or has lost.
type Item struct {
	key    Digest
	winner winner
}

// Items returns the unexpired entries of the fold's state in the order of the
// log.
func (f *Fold) Items() []Item {
	items := make([]Item, 0, len(f.keyOrder)+len(f.voidOrder))
	for _, k := range f.keyOrder {
		if w, ok := f.winnerOf(k.key); ok && w.expiresAt == k.expiresAt {
			items = append(items, Item{key: k.key, winner: w})
		}
	}
	for _, v := range f.voidOrder {
		if f.IsVoid(v.key) && f.voidClaims[v.key] == v.expiresAt {
			items = append(items, Item{winner: winner{id: v.key, expiresAt: v.expiresAt}})
		}
	}
	return items
}

// CheckpointEntry returns the entry that repeats an item in a checkpoint. An
// item must be repeated as it was at the start of the checkpoint, even if it has
// changed since. A fold that loads the checkpoint applies all records after that
// start; if a claim that was released since then were left out, a claim that
// lost to it in one of these records would win.
func (f *Fold) CheckpointEntry(i Item) Entry {
	if i.key == (Digest{}) {
		return Entry{Kind: KindVoid, Claim: Claim{ID: i.winner.id}, Until: time.UnixMilli(i.winner.expiresAt)}
	}
	return Entry{
		Kind:  KindCarry,
		Until: time.UnixMilli(i.winner.expiresAt),
		Claim: Claim{ID: i.winner.id, Key: i.key, BodyHash: i.winner.bodyHash, Holder: f.holders[i.winner.holderIndex]},
	}
}

// loader collects the records from which a fold restores its state: those of a
// checkpoint, and those that must be applied to the state in the checkpoint.
type loader struct {
	startOffset uint64
	// records are the records read so far, without carried entries.
	records []Record
	// carried are the carried entries by the From of their checkpoint.
	carried map[uint64][]Entry
}

func newLoader(from uint64) *loader {
	return &loader{startOffset: from, carried: map[uint64][]Entry{}}
}

// loadRecord stores a record until a checkpoint whose From is at or after the
// fold's start is complete. Then it restores the state at From and applies the
// stored records from that offset on.
func (f *Fold) loadRecord(r *Record) {
	l := f.loader
	s := r.Batch.Checkpoint
	remaining := *r
	remaining.Batch.Entries = nil
	for _, e := range r.Batch.Entries {
		if e.Kind != KindCarry && e.Kind != KindVoid {
			remaining.Batch.Entries = append(remaining.Batch.Entries, e)
		} else if s != nil && s.From >= l.startOffset {
			l.carried[s.From] = append(l.carried[s.From], e)
		}
	}
	l.records = append(l.records, remaining)
	switch {
	case s != nil && s.Final && s.From >= l.startOffset:
		f.clock, f.barredUntil = s.Clock, s.BarredUntil
		f.restoreCheckpoint(l.carried[s.From])
		f.finishLoading(s.From)
	case r.Batch.Bar:
		// All claims from before this record have expired by the time at which
		// a claim can win again, so their state is not needed.
		f.finishLoading(r.Offset)
	}
}

// restoreCheckpoint adds the carried entries to the state.
func (f *Fold) restoreCheckpoint(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Kind == KindVoid {
			f.markVoid(e.Claim.ID, e.Until)
			continue
		}
		f.setWinner(&e.Claim, e.Until)
	}
}

// finishLoading makes the fold loaded and applies the stored records from the
// given offset on.
func (f *Fold) finishLoading(from uint64) {
	l := f.loader
	f.loader = nil
	for i := range l.records {
		if l.records[i].Offset >= from {
			f.apply(&l.records[i])
		}
	}
}
