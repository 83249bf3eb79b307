package router

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"hyssopreach/internal/coordination/overload"
	"hyssopreach/internal/transport/entry"
)

const (
	// minRejectDelay is the time after which a rejected caller may retry, and
	// rejectJitter the greatest random part that is added, so that rejected
	// callers do not return at the same time.
	minRejectDelay = 250 * time.Millisecond
	rejectJitter   = 500 * time.Millisecond
	// maxBacklogAge is the time without a new connection after which the accept
	// queue counts as empty.
	maxBacklogAge = 200 * time.Millisecond
	// rejectLogInterval is the time between two log lines about rejections.
	rejectLogInterval = time.Second
	// metricRejected counts the rejected connections.
	metricRejected = "ConnectionsRejected"
)

// overloadController is the controller of a hosted router. The router is late if
// its goroutines are, and if callers' connections have waited to be accepted.
type overloadController struct {
	overload.Controller
	backlog atomic.Pointer[backlog]
}

// backlog is the time for which the accept queue had not been empty when the last
// connection was accepted.
type backlog struct {
	duration   time.Duration
	acceptedAt time.Time
}

// Observe adjusts the controller to a sample of the router's lateness.
func (c *overloadController) Observe(lateness time.Duration) {
	c.Controller.Observe(max(lateness, c.recentBacklog()))
}

// recentBacklog returns the time for which the accept queue had not been empty;
// zero without a recent connection.
func (c *overloadController) recentBacklog() time.Duration {
	if b := c.backlog.Load(); b != nil && time.Since(b.acceptedAt) < maxBacklogAge {
		return b.duration
	}
	return 0
}

// rejecter implements connlimit.Overload. Only one goroutine may use it.
type rejecter struct {
	controller *overloadController
	answer     func(now, retryAt time.Time) []byte
	logger     log.Interface
	count      metrics.Counter
	// unlogged is the number of rejections since the last log line, and nextLogAt
	// the instant of the next one.
	unlogged  int
	nextLogAt time.Time
	// requests and refusals are the router's counters, and logged is the router's
	// load at the last log line.
	requests, refusals metrics.Counter
	logged             routerLoad
}

// routerLoad is what the router has done by an instant.
type routerLoad struct {
	at                 time.Time
	processor          time.Duration
	requests, refusals int64
}

func newRejecter(c *overloadController, answer func(now, retryAt time.Time) []byte, logger log.Interface, registry metrics.Registry) *rejecter {
	return &rejecter{
		controller: c, answer: answer, logger: logger, count: metrics.GetOrRegisterCounter(metricRejected, registry),
		requests: metrics.GetOrRegisterCounter(entry.MetricRequests, registry), refusals: metrics.GetOrRegisterCounter(entry.MetricRefusals, registry),
	}
}

// Reject implements connlimit.Overload.
func (r *rejecter) Reject(duration time.Duration) bool {
	r.controller.backlog.Store(&backlog{duration, time.Now()})
	return r.controller.Reject()
}

// log logs the rejections since the last log line and what the router has done
// since then.
func (r *rejecter) log(now time.Time) {
	load := routerLoad{now, processorTime(), r.requests.Count(), r.refusals.Count()}
	r.logger.WithFields(log.Fields{
		"Count": r.unlogged, "Fraction": r.controller.Fraction(), "Backlog": r.controller.recentBacklog().Round(time.Millisecond),
		"Interval": now.Sub(r.logged.at).Round(time.Millisecond), "Processor": (load.processor - r.logged.processor).Round(time.Millisecond),
		"Requests": load.requests - r.logged.requests, "Refusals": load.refusals - r.logged.refusals,
	}).Warn("ConnectionsRejected")
	r.logged = load
}

// processorTime returns the processor time that this process has used; zero if the
// host does not tell.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Answer implements connlimit.Overload. It counts the rejection.
func (r *rejecter) Answer() []byte {
	now := time.Now()
	r.count.Inc(1)
	r.unlogged++
	if !now.Before(r.nextLogAt) {
		r.log(now)
		r.unlogged, r.nextLogAt = 0, now.Add(rejectLogInterval)
	}
	return r.answer(now, now.Add(minRejectDelay+rand.N(rejectJitter)))
}
