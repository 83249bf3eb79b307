package overload

import (
	"sync"
	"time"
)

const (
	// targetLateness is the lateness up to which nothing more is rejected. It is
	// well below the shortest latency objective of the callers, 100 ms.
	targetLateness = 40 * time.Millisecond
	// riseStep is added to the fraction with a sample that is late by twice the
	// target, in proportion to the excess for other samples, and at most
	// maxRise. Each sample that is not late subtracts fallStep.
	riseStep, maxRise, fallStep = 0.05, 0.15, 0.02
	// maxFraction leaves some connections, by whose requests the router learns
	// who still calls it.
	maxFraction = 0.99
)

// Controller holds the fraction of new connections to reject.
type Controller struct {
	mu       sync.Mutex
	fraction float64 // guarded by mu
	// remainder is the part of a connection that is still to be rejected, so that
	// rejected connections are spread evenly. Guarded by mu.
	remainder float64
}

// Observe adjusts the fraction to a sample of the router's lateness.
func (c *Controller) Observe(lateness time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lateness <= targetLateness {
		c.fraction = max(c.fraction-fallStep, 0)
		return
	}
	excess := float64(lateness-targetLateness) / float64(targetLateness)
	c.fraction = min(c.fraction+min(riseStep*excess, maxRise), maxFraction)
}

// Reject reports whether to reject the connection at hand.
func (c *Controller) Reject() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remainder += c.fraction
	if c.remainder < 1 {
		return false
	}
	c.remainder--
	return true
}

// Fraction returns the part of the connections that is rejected, 0 to 1.
func (c *Controller) Fraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fraction
}
