package logline

import "sync"

// Once lets each key be logged once, for a bounded number of keys. Its zero value is
// ready for use by several goroutines.
type Once struct {
	mu   sync.Mutex
	seen map[string]bool // guarded by mu
}

const (
	// MaxKeys is the number of keys of a Once, after which none is logged.
	MaxKeys = 256
	// maxKeyBytes bounds the memory of a key; longer ones that begin alike are the same.
	maxKeyBytes = 100
)

// First reports whether the key is to be logged: it is the first time.
func (o *Once) First(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key = key[:min(len(key), maxKeyBytes)]
	if o.seen[key] || len(o.seen) >= MaxKeys {
		return false
	}
	if o.seen == nil {
		o.seen = map[string]bool{}
	}
	o.seen[key] = true
	return true
}
