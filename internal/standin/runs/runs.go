package runs

import (
	"maps"
	"sync"
	"time"
)

// Counter counts the runs of requests by request id and by idempotency key. The
// zero value is ready for use. It is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	byRequest map[string]int
	byKey     map[string]int
	total     int
	lastStart time.Time
}

// Summary is a copy of the counts of a Counter.
type Summary struct {
	Total int
	// Last is the time at which the last run started.
	Last      time.Time
	ByRequest map[string]int
	ByKey     map[string]int
}

// Add counts a run that started at the given time. An empty request id or key
// is not counted.
func (c *Counter) Add(now time.Time, request, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byRequest == nil {
		c.byRequest = make(map[string]int)
		c.byKey = make(map[string]int)
	}
	c.total++
	c.lastStart = now
	if request != "" {
		c.byRequest[request]++
	}
	if key != "" {
		c.byKey[key]++
	}
}

// Total returns the number of runs so far.
func (c *Counter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Summary returns a copy of all counts.
func (c *Counter) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Summary{c.total, c.lastStart, maps.Clone(c.byRequest), maps.Clone(c.byKey)}
}

// Repeated returns the idempotency keys that were run more than once, in no
// particular order.
func (s Summary) Repeated() []string {
	var keys []string
	for k, n := range s.ByKey {
		if n > 1 {
			keys = append(keys, k)
		}
	}
	return keys
}
