package router

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/overload"
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
	if b := c.backlog.Load(); b != nil && time.Since(b.acceptedAt) < maxBacklogAge {
		lateness = max(lateness, b.duration)
	}
	c.Controller.Observe(lateness)
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
}

func newRejecter(c *overloadController, answer func(now, retryAt time.Time) []byte, logger log.Interface, registry metrics.Registry) *rejecter {
	return &rejecter{controller: c, answer: answer, logger: logger, count: metrics.GetOrRegisterCounter(metricRejected, registry)}
}

// Reject implements connlimit.Overload.
func (r *rejecter) Reject(duration time.Duration) bool {
	r.controller.backlog.Store(&backlog{duration, time.Now()})
	return r.controller.Reject()
}

// Answer implements connlimit.Overload. It counts the rejection.
func (r *rejecter) Answer() []byte {
	now := time.Now()
	r.count.Inc(1)
	r.unlogged++
	if !now.Before(r.nextLogAt) {
		r.logger.WithFields(log.Fields{"Count": r.unlogged, "Fraction": r.controller.Fraction()}).Warn("ConnectionsRejected")
		r.unlogged, r.nextLogAt = 0, now.Add(rejectLogInterval)
	}
	return r.answer(now, now.Add(minRejectDelay+rand.N(rejectJitter)))
}
