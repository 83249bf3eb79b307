package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"hyssopreach/internal/coordination/overload"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
)

const (
	// minRejectDelay and maxRejectDelay bound the time after which a rejected caller
	// may retry, without the random part.
	minRejectDelay, maxRejectDelay = 250 * time.Millisecond, 2 * time.Second
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
	// scheduling learns of rejected requests and states what organisations receive
	// from the fleet. It is nil until the router starts.
	scheduling atomic.Pointer[execution.Scheduling]

	mu sync.Mutex
	// rejected is the work of rejected requests, by organisation, that scheduling
	// has not learnt of. Guarded by mu.
	rejected map[string]float64
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
	c.Controller.Observe(max(lateness, c.recentBacklog()), func(organisation string) float64 { return received[organisation] })
}

// recentBacklog returns the time for which the accept queue had not been empty;
// zero without a recent connection.
func (c *overloadController) recentBacklog() time.Duration {
	if b := c.backlog.Load(); b != nil && time.Since(b.acceptedAt) < maxBacklogAge {
		return b.duration
	}
	return 0
}

// report tells the scheduler of the requests that were rejected since the last
// call, and learns what organisations receive.
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
		scheduling.Input(schedule.Rejections{Work: rejected})
	}
}

// addRejected adds the work of a rejected request.
func (c *overloadController) addRejected(organisation string, work float64) {
	if organisation == overload.Unknown || work <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected == nil {
		c.rejected = map[string]float64{}
	}
	c.rejected[organisation] += work
}

// setReceived sets the rates of the work that organisations receive from the fleet.
func (c *overloadController) setReceived(rates map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = rates
}

// rejecter implements connlimit.Overload. Only one goroutine may use it.
type rejecter struct {
	controller *overloadController
	// identify returns the organisation of the caller that has sent the beginning
	// of a request, overload.Unknown if it can't be known, and the request's work.
	identify func(head []byte) (organisation string, work float64)
	answer   func(now, retryAt time.Time) []byte
	logger   log.Interface
	count    metrics.Counter
	// fraction is the part of the connections that is rejected of the organisation
	// whose connection was rejected last.
	fraction float64
	// unlogged is the number of rejections since the last log line by organisation,
	// and nextLogAt the instant of the next one.
	unlogged  map[string]int
	nextLogAt time.Time
	// requests and refusals are the router's counters, and logged their values and
	// the processor time at the last log line.
	requests, refusals metrics.Counter
	logged             routerLoad
}

// routerLoad is what the router had done by an instant.
type routerLoad struct {
	at                 time.Time
	processor          time.Duration
	requests, refusals int64
}

func newRejecter(c *overloadController, identify func(head []byte) (string, float64), answer func(now, retryAt time.Time) []byte, logger log.Interface, registry metrics.Registry) *rejecter {
	return &rejecter{
		controller: c, identify: identify, answer: answer, logger: logger,
		count: metrics.GetOrRegisterCounter(metricRejected, registry), unlogged: map[string]int{}, logged: routerLoad{at: time.Now()},
		requests: metrics.GetOrRegisterCounter(entry.MetricRequests, registry), refusals: metrics.GetOrRegisterCounter(entry.MetricRefusals, registry),
	}
}

// Observe implements connlimit.Overload.
func (r *rejecter) Observe(duration time.Duration) bool {
	r.controller.backlog.Store(&backlog{duration, time.Now()})
	return r.controller.Fraction() > 0
}

// Reject implements connlimit.Overload.
func (r *rejecter) Reject(head []byte) bool {
	organisation, work := overload.Unknown, 0.0
	if len(head) > 0 {
		organisation, work = r.identify(head)
	}
	if !r.controller.Reject(organisation) {
		return false
	}
	r.fraction = r.controller.FractionOf(organisation)
	r.controller.addRejected(organisation, work)
	r.unlogged[organisation]++
	return true
}

// Answer implements connlimit.Overload. It counts the rejection.
func (r *rejecter) Answer() []byte {
	now := time.Now()
	r.count.Inc(1)
	if !now.Before(r.nextLogAt) {
		r.log(now)
		r.nextLogAt = now.Add(rejectLogInterval)
	}
	return r.answer(now, now.Add(rejectDelay(r.fraction, rand.Float64())))
}

// rejectDelay returns the time after which a caller may retry that is rejected
// while the given part of its organisation's connections is. If few are accepted, those that have
// been rejected take longer to be served. The jitter, 0 to 1, spreads callers that
// were rejected at the same time.
func rejectDelay(fraction, jitter float64) time.Duration {
	delay := min(float64(minRejectDelay)/max(1-fraction, 0.01), float64(maxRejectDelay))
	return time.Duration(delay * (1 + jitter))
}

// log logs the rejections since the last log line, with the organisation that most
// of them concern, and what the router has done since then.
func (r *rejecter) log(now time.Time) {
	total, most := 0, overload.Unknown
	for name, n := range r.unlogged {
		total += n
		if n > r.unlogged[most] {
			most = name
		}
	}
	load := routerLoad{now, processorTime(), r.requests.Count(), r.refusals.Count()}
	r.logger.WithFields(log.Fields{
		"Count": total, "Fraction": r.controller.Fraction(), "Backlog": r.controller.recentBacklog().Round(time.Millisecond),
		"Organisation": most, "OrganisationCount": r.unlogged[most],
		"Interval": now.Sub(r.logged.at).Round(time.Millisecond), "Processor": (load.processor - r.logged.processor).Round(time.Millisecond),
		"Requests": load.requests - r.logged.requests, "Refusals": load.refusals - r.logged.refusals,
	}).Warn("ConnectionsRejected")
	clear(r.unlogged)
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

// identifier returns a function that returns the organisation of the caller that
// has sent the beginning of a request, overload.Unknown if it can't be known, and
// the request's work. identify reads the caller's key and the work.
func (c *Core) identifier(identify func(head []byte) (key string, work float64)) func(head []byte) (string, float64) {
	return func(head []byte) (string, float64) {
		key, work := identify(head)
		table := c.Table()
		if key == "" || table == nil {
			return overload.Unknown, 0
		}
		if o := table.Organisation(key); o != nil {
			return o.Name, work
		}
		return overload.Unknown, 0
	}
}
