package runs

import (
	"maps"
	"sync"
	"time"
)

// Counter counts runs by request id and by idempotency key. The zero value
// is ready for use.
type Counter struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	byRequest map[string]int
	byKey     map[string]int
	total     int
	last      time.Time
}

// Summary is a copy of the counts.
type Summary struct {
	Total int
	// Last is the instant at which the last run began.
	Last      time.Time
	ByRequest map[string]int
	ByKey     map[string]int
}

// Add counts one run that began at the given instant. Either name may be
// empty.
func (c *Counter) Add(now time.Time, request, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byRequest == nil {
		c.byRequest = make(map[string]int)
		c.byKey = make(map[string]int)
	}
	c.total++
	c.last = now
	if request != "" {
		c.byRequest[request]++
	}
	if key != "" {
		c.byKey[key]++
	}
}

// Total is the number of runs so far.
func (c *Counter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Summary returns a copy of all counts.
func (c *Counter) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Summary{c.total, c.last, maps.Clone(c.byRequest), maps.Clone(c.byKey)}
}

// Repeated returns the keys that ran more than once.
func (s Summary) Repeated() []string {
	var keys []string
	for k, n := range s.ByKey {
		if n > 1 {
			keys = append(keys, k)
		}
	}
	return keys
}
