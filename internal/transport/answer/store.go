package answer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/internal/state/claim"
)

const (
	// keptLife is how long the bytes of an answer are kept.
	keptLife = 10 * time.Minute
	// maxRemembered bounds the ends that are remembered.
	maxRemembered = 200_000
)

// Store holds the attempts of one router.
type Store struct {
	limit int64
	now   func() time.Time
	bytes atomic.Int64

	// mu is taken before the lock of an attempt.
	mu    sync.Mutex
	byKey map[claim.Digest]*Attempt // guarded by mu
	byID  map[claim.ID]*Attempt     // guarded by mu
	given map[claim.ID]claim.Digest // guarded by mu; claims given up unsent
	order []*Attempt                // guarded by mu; ended ones, oldest first
	kept  []*Attempt                // guarded by mu; those with bytes, oldest first
	lost  []claim.ID                // guarded by mu; the order of given
}

// NewStore returns a store that keeps at most the given bytes of answers.
func NewStore(bytes int64, now func() time.Time) *Store {
	return &Store{
		limit: bytes, now: now, byKey: map[claim.Digest]*Attempt{},
		byID: map[claim.ID]*Attempt{}, given: map[claim.ID]claim.Digest{},
	}
}

// Enter returns the attempt that has the key, or a new one if there is none or
// if the last one left the key to others. The caller reads it with CopyTo and
// must call Leave. For a new attempt, cancel gives it up.
func (s *Store) Enter(key claim.Digest, bodyHash uint64, cancel context.CancelFunc) (a *Attempt, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.byKey[key]; a != nil && a.enter() {
		return a, false
	}
	a = &Attempt{store: s, key: key, bodyHash: bodyHash, changed: make(chan struct{}), readers: 1, cancel: cancel}
	s.byKey[key] = a
	return a, true
}

// enter adds a reader, unless another attempt may run the request.
func (a *Attempt) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == EndUnsent || a.end == EndUnknown && !a.sent {
		return false
	}
	a.readers++
	return true
}

// Claim gives the attempt a claim of its own; an earlier one has been lost.
func (s *Store) Claim(a *Attempt, id claim.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.id != (claim.ID{}) {
		s.giveUp(a.id, a.key)
	}
	a.id = id
	s.byID[id] = a
}

// giveUp requires that mu is held.
func (s *Store) giveUp(id claim.ID, key claim.Digest) {
	delete(s.byID, id)
	s.given[id] = key
	s.lost = append(s.lost, id)
	if len(s.lost) > maxRemembered {
		delete(s.given, s.lost[0])
		s.lost = s.lost[1:]
	}
}

// Find returns the attempt of a claim. GivenUp is set when the claim is known
// to have been given up unsent.
func (s *Store) Find(id claim.ID) (a *Attempt, givenUp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.given[id]; ok {
		return nil, true
	}
	a = s.byID[id]
	if a == nil {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == EndUnsent {
		return nil, true
	}
	a.readers++
	return a, false
}

// reserve takes room for bytes, dropping the oldest answers if need be.
func (s *Store) reserve(n int64) bool {
	if s.bytes.Add(n) <= s.limit {
		return true
	}
	s.mu.Lock()
	s.evict()
	s.mu.Unlock()
	if s.bytes.Load() <= s.limit {
		return true
	}
	s.bytes.Add(-n)
	return false
}

// evict drops the answers that are old, and then the oldest until the rest
// finds room. Answers that are being read go to the back of the line. It
// requires that mu is held.
func (s *Store) evict() {
	oldest := s.now().Add(-keptLife)
	for range len(s.kept) {
		a := s.kept[0]
		dropped, done := a.drop(oldest, s.bytes.Load() > s.limit)
		if done {
			return
		}
		s.kept = s.kept[1:]
		if !dropped {
			s.kept = append(s.kept, a)
		}
	}
}

// ended notes that an attempt has ended, and forgets what is too old.
func (s *Store) ended(a *Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.mu.Lock()
	unsent, id := a.end == EndUnsent, a.id
	a.mu.Unlock()
	if unsent {
		s.forget(a, id)
		s.giveUp(id, a.key)
	} else {
		s.order = append(s.order, a)
		s.kept = append(s.kept, a)
	}
	s.evict()
	limit := s.now().Add(-claim.KeyLife)
	for len(s.order) > 0 && (len(s.order) > maxRemembered || s.order[0].endedBefore(limit)) {
		old := s.order[0]
		s.order = s.order[1:]
		s.forget(old, old.claimID())
	}
}

// forget requires that mu is held.
func (s *Store) forget(a *Attempt, id claim.ID) {
	if s.byKey[a.key] == a {
		delete(s.byKey, a.key)
	}
	if s.byID[id] == a {
		delete(s.byID, id)
	}
}

// Bytes returns the bytes of the answers that are kept.
func (s *Store) Bytes() int64 { return s.bytes.Load() }
