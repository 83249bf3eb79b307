package claim

import "time"

// Series marks the entries of one pass that repeats the state of a stream
// before the log forgets it.
type Series struct {
	// From is the offset up to which the state had been read. Passes that
	// began at the same offset repeat the same state.
	From uint64
	// Final is set on the record that ends the pass: all entries of the
	// state have been appended before it.
	Final bool
	// Clock and BarredUntil belong to the state at From. They are set with
	// Final.
	Clock       time.Time
	BarredUntil time.Time
}

// Item is one entry of a fold's state as it stood when it was listed: a key
// with the claim that holds it, or a void claim if the key is zero.
type Item struct {
	key  Digest
	held held
}

// Items returns what makes up the fold's state, in the order of the log.
func (f *Fold) Items() []Item {
	items := make([]Item, 0, len(f.keys)+len(f.voids))
	for _, k := range f.keys {
		if h, ok := f.living(k.key); ok && h.until == k.until {
			items = append(items, Item{key: k.key, held: h})
		}
	}
	for _, v := range f.voids {
		if f.Void(v.key) && f.void[v.key] == v.until {
			items = append(items, Item{held: held{id: v.key, until: v.until}})
		}
	}
	return items
}

// Carry returns the entry that repeats an item. It repeats the state in which
// the pass began and no later one, because a fold that loads the pass applies
// every record after that start: a claim that lost there to one released since
// would win if the released one were left out.
func (f *Fold) Carry(i Item) Entry {
	if i.key == (Digest{}) {
		return Entry{Kind: KindVoid, Claim: Claim{ID: i.held.id}, Until: time.UnixMilli(i.held.until)}
	}
	return Entry{
		Kind:  KindCarry,
		Until: time.UnixMilli(i.held.until),
		Claim: Claim{ID: i.held.id, Key: i.key, BodyHash: i.held.bodyHash, Holder: f.holders[i.held.holder]},
	}
}

// loading collects what a fold needs to learn the state before its start.
type loading struct {
	started uint64
	// records are those read so far, without carried entries.
	records []Record
	// carried are the entries of each pass, by the offset where it began.
	carried map[uint64][]Entry
}

func newLoading(from uint64) *loading {
	return &loading{started: from, carried: map[uint64][]Entry{}}
}

// load keeps a record until a pass that began at or after the fold's start
// has ended; then the state at the start of the pass is known, and the
// records after it are applied to it.
func (f *Fold) load(r *Record) {
	l := f.loading
	s := r.Batch.Series
	kept := *r
	kept.Batch.Entries = nil
	for _, e := range r.Batch.Entries {
		if e.Kind != KindCarry && e.Kind != KindVoid {
			kept.Batch.Entries = append(kept.Batch.Entries, e)
		} else if s != nil && s.From >= l.started {
			l.carried[s.From] = append(l.carried[s.From], e)
		}
	}
	l.records = append(l.records, kept)
	switch {
	case s != nil && s.Final && s.From >= l.started:
		f.clock, f.barredUntil = s.Clock, s.BarredUntil
		f.restore(l.carried[s.From])
		f.replay(s.From)
	case r.Batch.Bar:
		// Whatever held a key before this record has expired by the time
		// that another claim can win.
		f.replay(r.Offset)
	}
}

func (f *Fold) restore(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Kind == KindVoid {
			f.avoid(e.Claim.ID, e.Until)
			continue
		}
		f.hold(&e.Claim, e.Until)
	}
}

func (f *Fold) replay(from uint64) {
	l := f.loading
	f.loading = nil
	for i := range l.records {
		if l.records[i].Offset >= from {
			f.apply(&l.records[i])
		}
	}
}
