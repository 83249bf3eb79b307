package router

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/entrypoint"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	"hyssopreach/internal/transport/execution"
)

const (
	// useInterval is the time between two samples of the processor time in use. It is
	// shorter than the time between two pulses in a fleet of forty routers or more.
	useInterval = 500 * time.Millisecond
	// lateUse is the lateness from which the process counts as one without processor
	// time. It is that of package lateness.
	lateUse = 100 * time.Millisecond
	// MetricProcessorBusy is the gauge of the processor time in use and refused, in
	// thousandths of the capacity.
	MetricProcessorBusy = "ProcessorBusyPermille"
	// MetricRoutersReduced is the gauge of routers that are named less often than their
	// capacity permits.
	MetricRoutersReduced = "EntryRoutersReduced"
	// MetricWeightChanges counts the changes of routers' weights.
	MetricWeightChanges = "EntryWeightChanges"
	// MetricRemoteRouters is the gauge of the routers of other failure domains in answers
	// to callers of this router's failure domain, in hundredths.
	MetricRemoteRouters = "EntryRemoteRoutersPercent"
)

// Caller describes who asks for routers.
type Caller = entrypoint.Caller

// selector chooses the routers that callers are told to use, by what routers state and
// report. It measures the use of this router's processor time.
type selector struct {
	self       view.Router
	scheduling *execution.Scheduling
	overload   *overloadController
	logger     log.Interface

	busy, reduced, remote metrics.Gauge
	changes               metrics.Counter
	// rejectedHeads counts requests that were refused for lack of memory.
	rejectedHeads metrics.Counter

	mu    sync.Mutex
	table *entrypoint.Table // guarded by mu
	// routers are those of the table. Guarded by mu.
	routers []view.Router

	// The fields below belong to the goroutine of the lateness meter.

	meter     entrypoint.Meter
	sampledAt time.Time
	// late is the greatest lateness since the last sample.
	late time.Duration
	// headsBefore is the count of rejectedHeads at the last sample.
	headsBefore int64
}

func newSelector(self view.Router, scheduling *execution.Scheduling, overload *overloadController, logger log.Interface, registry metrics.Registry) *selector {
	return &selector{
		self: self, scheduling: scheduling, overload: overload, logger: logger, table: entrypoint.New(),
		meter:   entrypoint.Meter{Capacity: self.Capacity},
		busy:    metrics.GetOrRegisterGauge(MetricProcessorBusy, registry),
		reduced: metrics.GetOrRegisterGauge(MetricRoutersReduced, registry),
		remote:  metrics.GetOrRegisterGauge(MetricRemoteRouters, registry),
		changes: metrics.GetOrRegisterCounter(MetricWeightChanges, registry),

		rejectedHeads: metrics.GetOrRegisterCounter(MetricHeadsRejected, registry),
	}
}

// setView sets the routers of a new snapshot, if they have changed.
func (s *selector) setView(v *view.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(v.Routers) == len(s.routers) && len(v.Routers) > 0 && &v.Routers[0] == &s.routers[0] {
		return
	}
	s.routers = v.Routers
	s.table.SetRouters(s.self.ID, v.Routers)
}

// receive takes the use of processor time from a message of another router.
func (s *selector) receive(d schedule.Delivery) {
	m, ok := d.Message.(*schedule.Pulse)
	if !ok || m.Busy <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Report(time.Now(), d.From, m.Busy)
}

// observe is called with each sample of the process's lateness. At intervals, it adjusts
// the weights and reports the use of processor time, if routers differ in capacity.
// Elsewhere nothing is measured or reported.
func (s *selector) observe(late time.Duration) {
	now := time.Now()
	s.late = max(s.late, late)
	if now.Sub(s.sampledAt) < useInterval {
		return
	}
	heads := s.rejectedHeads.Count()
	short := s.late >= lateUse || heads > s.headsBefore
	s.late, s.headsBefore, s.sampledAt = 0, heads, now
	s.mu.Lock()
	active := s.table.Active()
	s.mu.Unlock()
	use := 0.0
	if active {
		use = s.meter.Sample(now, processorTime(), s.overload.Fraction(), short)
		s.busy.Update(int64(1000 * use))
		s.scheduling.Input(schedule.ProcessorUse{Busy: use})
	}
	for _, d := range s.step(now, use) {
		driver.LogDecision(s.logger, d.Event, d.Fields)
	}
}

// step adjusts the weights to the reports, and that of this router to its use.
func (s *selector) step(now time.Time, use float64) []entrypoint.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if use > 0 {
		s.table.Report(now, s.self.ID, use)
	}
	before := s.table.Changes()
	decisions := s.table.Step(now)
	s.changes.Inc(s.table.Changes() - before)
	s.reduced.Update(s.table.Reduced())
	s.remote.Update(int64(100 * s.table.Remote(s.self.FailureDomain)))
	return decisions
}

// choose returns the addresses of the routers for a caller. It returns false if routers
// do not differ in capacity. ready is set if this router may be named.
func (s *selector) choose(caller Caller, limit int, ready bool) ([]netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Select(caller, limit, ready), s.table.Active()
}

// CallerAddresses returns the addresses of at most limit routers that the caller
// may use. It returns false if no router is usable or if this router does not
// know the fleet yet. Where routers state different capacities, package entrypoint
// chooses. Elsewhere, if more routers are usable, it chooses among them at random, so
// that every router gets callers.
func (c *Core) CallerAddresses(limit int, caller Caller) ([]netip.AddrPort, bool) {
	v := c.fleet.View()
	joining := len(v.Routers) == 1 && len(c.options.Settings.Peers) > 0 && time.Since(c.started) < joinGrace
	if chosen, ok := c.selector.choose(caller, limit, c.Ready()); ok {
		return chosen, len(chosen) > 0 && !joining
	}
	var usable []netip.AddrPort
	for i := range v.Routers {
		r := &v.Routers[i]
		if r.Draining || r.Suspected || r.ID == v.Self && !c.Ready() {
			continue
		}
		usable = append(usable, r.CallerAddress)
	}
	if len(usable) > limit {
		rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		usable = usable[:limit]
	}
	return usable, len(usable) > 0 && !joining
}
