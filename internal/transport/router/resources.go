package router

import (
	"runtime/debug"
	"time"
)

const (
	// memoryPercent is the part of the process's memory above which garbage is
	// collected more often; the rest is for what the runtime doesn't count.
	memoryPercent = 70
	// bodyMemoryShare is the part of the process's memory, as a divisor, that
	// callers' bodies may take.
	bodyMemoryShare = 4
	// callersShare is the part of the descriptors, as a divisor, that callers'
	// connections may take, and unstatedConnections their number where no limit
	// is stated. The rest is for endpoints, the other routers and the store.
	callersShare, unstatedConnections = 2, 10_000
	// confirmMargin is kept of the time within which a key that was removed
	// must not be accepted any more, for the way to the endpoint.
	confirmMargin = 700 * time.Millisecond
)

// Resources are what the process of a hosted router may use.
type Resources struct {
	// MemoryBytes is zero if nothing is said.
	MemoryBytes int64
	// Descriptors is the number of files and connections; zero if nothing is
	// said.
	Descriptors int
}

// LimitMemory keeps the process under the memory that it is given.
func (r Resources) LimitMemory() {
	if r.MemoryBytes > 0 {
		debug.SetMemoryLimit(r.MemoryBytes * memoryPercent / 100)
	}
}

// bodyBytes bounds what callers' bodies take, by the settings where the memory
// is not stated.
func (r Resources) bodyBytes(set int64) int64 {
	if r.MemoryBytes <= 0 {
		return set
	}
	return r.MemoryBytes / bodyMemoryShare
}

// connections bounds what callers may have open.
func (r Resources) connections() int {
	if r.Descriptors <= 0 {
		return unstatedConnections
	}
	return r.Descriptors / callersShare
}
