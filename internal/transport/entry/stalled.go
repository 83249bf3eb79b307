package entry

import (
	"context"
	"time"
)

const (
	// A body of which less than stallBytes have arrived within stallTime has stalled: less
	// than 8 KB/s, where callers send whole bodies within milliseconds.
	stallTime, stallBytes = 500 * time.Millisecond, 4 << 10
	// chunkedRead bounds a read of a body in chunks, which returns only once its buffer is
	// full, and would hide the progress of the body.
	chunkedRead = stallBytes
	// stoppedWait bounds the wait for the memory of bodies that have been stopped. Their
	// reads end at once; the time is for a process that runs late.
	stoppedWait = 250 * time.Millisecond
)

// begin adds a body to those that arrive.
func (b *BodyLimiter) begin(g *growingBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving[g] = true
}

// end removes a body from those that arrive, and reports whether it has given way.
func (b *BodyLimiter) end(g *growingBody) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, g)
	return g.stopped
}

// recordProgress records what has arrived of a body.
func (b *BodyLimiter) recordProgress(g *growingBody, arrived int) {
	if arrived-g.progressBytes < stallBytes {
		return // only the goroutine that reads the body changes progressBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g.progressAt, g.progressBytes = time.Now(), arrived
}

// acquire reserves more bytes for a body. If there are too few, it stops stalled bodies, the
// largest first, until their memory suffices, and waits for it. It returns false if it does
// not get the memory.
func (b *BodyLimiter) acquire(g *growingBody, more int64) bool {
	acquired := b.memory.TryAcquire(more)
	if !acquired && b.stopStalled(g, more, time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), stoppedWait)
		defer cancel()
		acquired = b.memory.Acquire(ctx, more) == nil
	}
	if !acquired {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g.held += more
	return true
}

// stopStalled stops stalled bodies other than the given one, the largest first, until they
// hold the wanted memory. It returns false, and stops none, if all of them hold less.
func (b *BodyLimiter) stopStalled(except *growingBody, wanted int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stop []*growingBody
	for wanted > 0 {
		largest := b.largestStalled(except, stop, now)
		if largest == nil {
			return false
		}
		stop = append(stop, largest)
		wanted -= largest.held
	}
	for _, g := range stop {
		g.stopped = true
		g.stop()
	}
	return true
}

// largestStalled returns the largest stalled body that is neither stopped nor excluded, nil if
// there is none. It requires that mu is held.
func (b *BodyLimiter) largestStalled(except *growingBody, excluded []*growingBody, now time.Time) *growingBody {
	var largest *growingBody
next:
	for g := range b.arriving {
		if g == except || g.stopped || g.held == 0 || now.Sub(g.progressAt) < stallTime || largest != nil && g.held <= largest.held {
			continue
		}
		for _, e := range excluded {
			if g == e {
				continue next
			}
		}
		largest = g
	}
	return largest
}
