package router

import (
	"runtime/debug"
	"time"
)

const (
	// memoryPercent is the percentage of the process's memory above which the
	// garbage collector runs more often. The rest is for memory that the Go
	// runtime does not count.
	memoryPercent = 70
	// bodyMemoryDivisor divides the process's memory to give the memory that
	// callers' bodies may take.
	bodyMemoryDivisor = 4
	// answerShare divides the memory for callers' bodies to give the memory that parts of
	// answers may take which are not passed on at once, and headShare to give that for the
	// heads of callers' requests.
	answerShare, headShare = 2, 2
	// callerConnectionsDivisor divides the number of descriptors to give the
	// number of callers' connections; the other descriptors are for endpoints,
	// the other routers and the store. defaultConnections is the number of
	// callers' connections if no limit of descriptors is stated.
	callerConnectionsDivisor, defaultConnections = 2, 10_000
	// sixteenth divides the number of descriptors, and the parts give the number of
	// connections of other routers (a fleet of 360 needs two each at the most), of callers
	// that ask which routers to use (each keeps one), and in smallDivisor of readiness
	// checks and operators each. With the callers' half, an eighth remains.
	sixteenth, peerParts, directoryParts, smallDivisor = 16, 2, 3, 32
	// minPeerConnections and minSmallConnections are lower bounds for settings with few
	// descriptors.
	minPeerConnections, minSmallConnections = 64, 8
	// confirmMargin is subtracted from the time within which a removed key must
	// cease to be accepted. It covers the time that an accepted request takes to
	// reach its endpoint.
	confirmMargin = 700 * time.Millisecond
	// listMargin is subtracted from the time within which a leaving endpoint must
	// cease to get attempts. It covers the dial and the sending of an attempt.
	listMargin = 300 * time.Millisecond
)

// Resources are the limits of the process of a hosted router.
type Resources struct {
	// MemoryBytes is the memory of the process; zero if no limit is stated.
	MemoryBytes int64
	// Descriptors is the number of open files and connections; zero if no limit
	// is stated.
	Descriptors int
	// Cores is the processor capacity of the machine, in cores; zero if it is not
	// stated.
	Cores float64
}

// capacity returns the processor capacity as other routers receive it, so that all
// select the same routers for a caller.
func (r Resources) capacity() float64 { return float64(float32(r.Cores)) }

// LimitMemory sets the memory limit of the Go runtime so that the process stays
// within its memory.
func (r Resources) LimitMemory() {
	if r.MemoryBytes > 0 {
		debug.SetMemoryLimit(r.MemoryBytes * memoryPercent / 100)
	}
}

// bodyBytes returns the memory that callers' bodies may take: a share of the
// process's memory, or the configured value if no limit of memory is stated.
func (r Resources) bodyBytes(configured int64) int64 {
	if r.MemoryBytes <= 0 {
		return configured
	}
	return r.MemoryBytes / bodyMemoryDivisor
}

// answerBytes returns the memory that parts of answers may take which are not passed on
// at once.
func (r Resources) answerBytes(configured int64) int64 { return r.bodyBytes(configured) / answerShare }

// headBytes returns the memory that the heads of callers' requests may take.
func (r Resources) headBytes(configured int64) int64 { return r.bodyBytes(configured) / headShare }

// connections returns the maximum number of callers' connections.
func (r Resources) connections() int {
	if r.Descriptors <= 0 {
		return defaultConnections
	}
	return r.Descriptors / callerConnectionsDivisor
}

// peerConnections returns the maximum number of connections of other routers; zero for the
// default.
func (r Resources) peerConnections() int {
	if r.Descriptors <= 0 {
		return 0
	}
	return max(r.Descriptors/sixteenth*peerParts, minPeerConnections)
}

// guardedConnections returns the maximum number of connections of a service that answers at
// once.
func (r Resources) guardedConnections(public bool) int {
	descriptors := r.Descriptors
	if descriptors <= 0 {
		descriptors = defaultConnections
	}
	if public {
		return max(descriptors/sixteenth*directoryParts, minSmallConnections)
	}
	return max(descriptors/smallDivisor, minSmallConnections)
}
