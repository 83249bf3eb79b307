package router

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"hyssopreach/internal/coordination/admission"
	"hyssopreach/internal/coordination/overload"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/transport/entry"
)

const (
	// minRejectDelay and maxRejectDelay bound the time after which a rejected caller
	// may retry, without the random part.
	minRejectDelay, maxRejectDelay = 250 * time.Millisecond, 2 * time.Second
	// rejectLogInterval is the time between two log lines about rejections.
	rejectLogInterval = time.Second
	// maxLoggedOrganisations bounds the organisations that such a line names.
	maxLoggedOrganisations = 5
	// metricRejected counts the rejected connections.
	metricRejected = "ConnectionsRejected"
)

// rejecter implements connlimit.Overload. Only one goroutine may use it.
type rejecter struct {
	controller *overloadController
	// identify describes the request whose beginning has arrived. Its organisation is
	// overload.Unknown if it can't be known.
	identify func(head []byte) schedule.RejectedRequest
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

func newRejecter(c *overloadController, identify func(head []byte) schedule.RejectedRequest, answer func(now, retryAt time.Time) []byte, logger log.Interface, registry metrics.Registry) *rejecter {
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
	request := schedule.RejectedRequest{Organisation: overload.Unknown}
	if len(head) > 0 {
		request = r.identify(head)
	}
	if !r.controller.RejectSized(request.Organisation, request.EngineMillis) {
		return false
	}
	r.fraction = r.controller.FractionOf(request.Organisation)
	r.controller.addRejected(request)
	r.unlogged[request.Organisation]++
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
		"Organisation": most, "OrganisationCount": r.unlogged[most], "Organisations": r.formatUnlogged(),
		"Interval": now.Sub(r.logged.at).Round(time.Millisecond), "Processor": (load.processor - r.logged.processor).Round(time.Millisecond),
		"Requests": load.requests - r.logged.requests, "Refusals": load.refusals - r.logged.refusals,
	}).Warn("ConnectionsRejected")
	clear(r.unlogged)
	r.logged = load
}

// formatUnlogged returns, for the organisations with most rejections since the last log
// line, the number of rejections and the part of the connections that is rejected now.
func (r *rejecter) formatUnlogged() string {
	names := slices.SortedFunc(maps.Keys(r.unlogged), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.unlogged[b], r.unlogged[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(len(names), maxLoggedOrganisations)] {
		parts = append(parts, fmt.Sprintf("%s:%d:%.2f", name, r.unlogged[name], r.controller.FractionOf(name)))
	}
	return strings.Join(parts, ",")
}

// processorTime returns the processor time that this process has used; zero if the
// host does not state it.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// identifier returns a function that describes the request whose beginning has
// arrived. identify reads the caller's key and the description of the prompt, nil if
// there is none.
func (c *Core) identifier(identify func(head []byte) (key string, p *schedule.Prompt)) func(head []byte) schedule.RejectedRequest {
	return func(head []byte) schedule.RejectedRequest {
		key, prompt := identify(head)
		request := schedule.RejectedRequest{Organisation: overload.Unknown}
		table := c.Table()
		if key == "" || table == nil {
			return request
		}
		o := table.Organisation(key)
		if o == nil {
			return request
		}
		request.Organisation = o.Name
		if prompt != nil {
			request.Work, request.Identity = admission.Cost(prompt), prompt.Identity
			request.EngineMillis = admission.EngineMillis(prompt)
		}
		return request
	}
}
