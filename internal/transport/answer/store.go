package answer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/internal/state/claim"
)

const (
	// bodyRetention is how long the body of a response is retained after the
	// attempt has ended.
	bodyRetention = 10 * time.Minute
	// maxRecords bounds the ended attempts, and separately the abandoned claims,
	// that are recorded.
	maxRecords = 200_000
)

// Store holds the attempts of one router.
type Store struct {
	limit int64
	now   func() time.Time
	bytes atomic.Int64

	// mu is taken before the lock of an attempt.
	mu             sync.Mutex
	byKey          map[claim.Digest]*Attempt // guarded by mu
	byID           map[claim.ID]*Attempt     // guarded by mu
	abandonedKeys  map[claim.ID]claim.Digest // guarded by mu; claims abandoned without sending the request
	ended          []*Attempt                // guarded by mu; ended attempts, oldest first
	withBody       []*Attempt                // guarded by mu; ended attempts whose body is not evicted, in the order of eviction
	abandonedOrder []claim.ID                // guarded by mu; the claims in abandonedKeys, oldest first
}

// NewStore returns a store that retains response bodies of at most the given total
// size in bytes.
func NewStore(bytes int64, now func() time.Time) *Store {
	return &Store{
		limit: bytes, now: now, byKey: map[claim.Digest]*Attempt{},
		byID: map[claim.ID]*Attempt{}, abandonedKeys: map[claim.ID]claim.Digest{},
	}
}

// Attach returns the attempt for the key and attaches the caller to it as a
// reader. It creates an attempt if there is none or if the previous one ended
// without sending the request. The caller reads the response with CopyTo and
// must call Detach.
//
// The bodyHash covers everything that must be equal in requests with the same
// key. It is stored with a new attempt; for an existing one the caller must
// compare it with BodyHash. The cancel function is also stored with a new
// attempt, which calls it if the last reader detaches before the request was
// sent.
func (s *Store) Attach(key claim.Digest, bodyHash uint64, cancel context.CancelFunc) (a *Attempt, created bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.byKey[key]; a != nil && a.attach() {
		return a, false
	}
	a = &Attempt{store: s, key: key, bodyHash: bodyHash, changed: make(chan struct{}), readers: 1, cancel: cancel}
	s.byKey[key] = a
	return a, true
}

// attach adds a reader. It returns false if the attempt ended without sending the
// request; a new attempt may then claim the key. An attempt whose request was not
// sent ends as EndUnknown if another claim held the key and the response to that
// claim's request could not be read.
func (a *Attempt) attach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == EndUnsent || a.end == EndUnknown && !a.sent {
		return false
	}
	a.readers++
	return true
}

// SetClaim sets the claim of the attempt. A previous claim of the attempt is
// recorded as abandoned.
func (s *Store) SetClaim(a *Attempt, id claim.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.id != (claim.ID{}) {
		s.recordAbandoned(a.id, a.key)
	}
	a.id = id
	s.byID[id] = a
}

// recordAbandoned records that the claim was abandoned without sending the
// request. It requires that mu is held.
func (s *Store) recordAbandoned(id claim.ID, key claim.Digest) {
	delete(s.byID, id)
	s.abandonedKeys[id] = key
	s.abandonedOrder = append(s.abandonedOrder, id)
	if len(s.abandonedOrder) > maxRecords {
		delete(s.abandonedKeys, s.abandonedOrder[0])
		s.abandonedOrder = s.abandonedOrder[1:]
	}
}

// Find returns the attempt of a claim and attaches the caller to it as a reader.
// Abandoned reports that the claim is known to have been abandoned without
// sending the request; both results are zero for an unknown claim.
func (s *Store) Find(id claim.ID) (a *Attempt, abandoned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.abandonedKeys[id]; ok {
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

// reserve accounts for n more bytes, evicting the oldest bodies if necessary. It
// reports whether they fit within the limit.
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

// evict discards the bodies that are older than bodyRetention, and then the
// oldest ones until the rest fits within the limit. Bodies with readers move to
// the end of the eviction queue. It requires that mu is held.
func (s *Store) evict() {
	evictBefore := s.now().Add(-bodyRetention)
	for range len(s.withBody) {
		a := s.withBody[0]
		evicted, retained := a.evictBody(evictBefore, s.bytes.Load() > s.limit)
		if retained {
			return
		}
		s.withBody = s.withBody[1:]
		if !evicted {
			s.withBody = append(s.withBody, a)
		}
	}
}

// recordEnd records that an attempt has ended, evicts bodies, and removes
// attempts that are older than the lifetime of a key or exceed maxRecords.
func (s *Store) recordEnd(a *Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.mu.Lock()
	notSent, id := a.end == EndUnsent, a.id
	a.mu.Unlock()
	if notSent {
		s.remove(a, id)
		s.recordAbandoned(id, a.key)
	} else {
		s.ended = append(s.ended, a)
		s.withBody = append(s.withBody, a)
	}
	s.evict()
	removeBefore := s.now().Add(-claim.KeyLifetime)
	for len(s.ended) > 0 && (len(s.ended) > maxRecords || s.ended[0].endedBefore(removeBefore)) {
		old := s.ended[0]
		s.ended = s.ended[1:]
		s.remove(old, old.claimID())
	}
}

// remove deletes the attempt from the indexes. It requires that mu is held.
func (s *Store) remove(a *Attempt, id claim.ID) {
	if s.byKey[a.key] == a {
		delete(s.byKey, a.key)
	}
	if s.byID[id] == a {
		delete(s.byID, id)
	}
}

// Bytes returns the total size of the retained response bodies and headers.
func (s *Store) Bytes() int64 { return s.bytes.Load() }
