package memory

import (
	"errors"

	"golang.org/x/sync/semaphore"
)

// ErrExhausted reports that all holders together take as much as they may.
var ErrExhausted = errors.New("the router holds as much of this kind as its memory allows")

// Limiter bounds what its holders take together. A nil Limiter bounds nothing. It is
// safe for concurrent use.
type Limiter struct{ taken *semaphore.Weighted }

// NewLimiter returns a Limiter that allows at most total bytes.
func NewLimiter(total int64) *Limiter { return &Limiter{semaphore.NewWeighted(total)} }

// Holding is the memory of one holder. The zero Holding is not bounded. Its methods must
// not be called concurrently.
type Holding struct {
	limiter *Limiter
	// free is what the holder may take without the limiter.
	free  int64
	taken int64
}

// NewHolding returns a Holding that counts towards the limiter beyond the free bytes.
func (l *Limiter) NewHolding(free int64) Holding { return Holding{limiter: l, free: free} }

// Resize sets the size of what is held. It changes nothing and returns ErrExhausted if
// the limiter does not allow it.
func (h *Holding) Resize(size int64) error {
	if h.limiter == nil {
		return nil
	}
	more := max(size-h.free, 0) - h.taken
	switch {
	case more > 0 && !h.limiter.taken.TryAcquire(more):
		return ErrExhausted
	case more < 0:
		h.limiter.taken.Release(-more)
	}
	h.taken += more
	return nil
}

// Release returns all that is held.
func (h *Holding) Release() {
	if h.taken > 0 {
		h.limiter.taken.Release(h.taken)
		h.taken = 0
	}
}
