package router

import (
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/internal/coordination/overload"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/transport/execution"
)

// maxBacklogAge is the time without a new connection after which the accept queue
// counts as empty.
const maxBacklogAge = 200 * time.Millisecond

const (
	// overloadMemory is the time after the last rejection for which the router counts as
	// overloaded: rejections come in bursts.
	overloadMemory = 3 * time.Second
	// eventDelayReserve is the part of the time that an event may take to its caller that
	// is left for the network and for a router that runs late.
	eventDelayReserve = 100 * time.Millisecond
)

// maxUnreported bounds the rejected requests that are held until the next report,
// of which there are several in a second.
const maxUnreported = 1 << 14

// overloadController is the controller of a hosted router. The router is late if
// its goroutines are, and if callers' connections have waited to be accepted.
type overloadController struct {
	overload.Controller
	backlog atomic.Pointer[backlog]
	// overloadedAt is the last instant at which connections were rejected, in Unix
	// nanoseconds.
	overloadedAt atomic.Int64
	// scheduling gets reports of rejected requests, and states what organisations
	// receive from the fleet. It is nil until the router starts.
	scheduling atomic.Pointer[execution.Scheduling]

	mu sync.Mutex
	// rejected are the rejected requests that have not been reported to scheduling, at
	// most maxUnreported. Guarded by mu.
	rejected []schedule.RejectedRequest
	// received is the last statement of scheduling. Guarded by mu.
	received map[string]float64
}

// backlog is the time for which the accept queue had not been empty when the last
// connection was accepted.
type backlog struct {
	duration   time.Duration
	acceptedAt time.Time
}

// Observe adjusts the controller to a sample of the router's lateness.
func (c *overloadController) Observe(lateness time.Duration) {
	c.report()
	c.mu.Lock()
	received := c.received
	c.mu.Unlock()
	c.Controller.Observe(lateness, c.recentBacklog(), func(organisation string) float64 { return received[organisation] })
	if c.Fraction() > 0 {
		c.overloadedAt.Store(time.Now().UnixNano())
	}
}

// readInterval returns the shortest time between two reads of a stream, if an event may
// take the given time to its caller; see execution.Runner.ReadInterval. Only a router that
// lacks processor time delays reads: a read and a write for several events together cost a
// third of those for each.
func (c *overloadController) readInterval(eventDelay time.Duration) time.Duration {
	if time.Now().UnixNano()-c.overloadedAt.Load() > int64(overloadMemory) {
		return 0
	}
	return max(eventDelay-eventDelayReserve, 0)
}

// recentBacklog returns the time for which the accept queue had not been empty;
// zero without a recent connection.
func (c *overloadController) recentBacklog() time.Duration {
	if b := c.backlog.Load(); b != nil && time.Since(b.acceptedAt) < maxBacklogAge {
		return b.duration
	}
	return 0
}

// report passes the requests that were rejected since the last call to the
// scheduler, which answers with what organisations receive.
func (c *overloadController) report() {
	scheduling := c.scheduling.Load()
	if scheduling == nil {
		return
	}
	c.mu.Lock()
	rejected := c.rejected
	c.rejected = nil
	c.mu.Unlock()
	if len(rejected) > 0 || c.Fraction() > 0 {
		scheduling.Input(schedule.Rejections{Requests: rejected})
	}
}

// addRejected adds a rejected request.
func (c *overloadController) addRejected(r schedule.RejectedRequest) {
	if r.Organisation == overload.Unknown || r.Work <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rejected) < maxUnreported {
		c.rejected = append(c.rejected, r)
	}
}

// setReceived sets the rates of the work that organisations receive from the fleet.
func (c *overloadController) setReceived(rates map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = rates
}
