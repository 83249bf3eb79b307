package trial

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/tool/ledger"
	"hyssopreach/internal/tool/load"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/peer"
)

// sampleInterval is the time between two samples of received service, queues
// and busy slots.
const sampleInterval = 10 * time.Millisecond

// Organisation is the load of one organisation.
type Organisation struct {
	Name string
	// Weight is the organisation's weight in the configuration document.
	Weight float64
	// Backlog is the number of requests that the load keeps waiting.
	Backlog int
	// Tokens is the mean length of the answers.
	Tokens int
	// Routers holds the indices of the routers that the organisation calls.
	Routers []int
}

// Fault is a fault that is injected into the installation during a trial.
type Fault struct {
	// At and End are the instants of the fault and of its repair, counted
	// from the start of the measurement.
	At, End time.Duration
	// FailureDomain is the failure domain that the fault cuts off, if any. Its
	// engines do not count as capacity from At to End.
	FailureDomain string
	// Begin injects the fault.
	Begin func(ctx context.Context, r *rig.Rig) error
	// Repair ends the fault; nil if there is nothing to do.
	Repair func(ctx context.Context, r *rig.Rig) error
}

// Options configures a trial.
type Options struct {
	Organisations []Organisation
	// WarmUp is the length of the warm-up before the measurement.
	WarmUp time.Duration
	// Length is the length of the measurement.
	Length time.Duration
	// SlotsPerEngine is the maximum batch size of each engine.
	SlotsPerEngine int
	// Fault is the fault to inject; nil for none.
	Fault *Fault
	// SettleTime is the time after the repair of the fault that still counts as
	// part of the fault and is excluded from Result.GapAfter.
	SettleTime time.Duration
	Seed       uint64
}

// Outcome is the result of one organisation's load.
type Outcome struct {
	Organisation Organisation
	Report       *load.Report
	// Tokens is the number of tokens received during the measurement.
	Tokens int64
}

// Traffic is the control traffic that one router sent during the measurement.
type Traffic struct {
	Router string
	// BytesPerSecond counts all bytes sent, including framing.
	BytesPerSecond float64
	// ByKind holds the bytes per second of the messages of each kind.
	ByKind map[string]float64
}

// Result holds the figures of a trial.
type Result struct {
	Outcomes []Outcome
	// Gap is the fairness gap in tokens. If a fault is injected, it covers the
	// time until the fault has been repaired and Options.SettleTime has passed.
	Gap ledger.Gap
	// GapAfter is the fairness gap in the remaining time after a fault. It is
	// zero if no fault is injected.
	GapAfter ledger.Gap
	// BackloggedShare holds, for each organisation, the share of the intervals
	// between samples throughout which the organisation had requests waiting. The
	// organisation counts for the fairness gap only in these intervals.
	BackloggedShare []float64
	// Utilisation is the busy share of slot-time while requests waited.
	Utilisation float64
	// TokensPerSecond is the rate of tokens over all organisations.
	TokensPerSecond float64
	// LargestCost is the largest cost of one request, in tokens.
	LargestCost int
	Traffic     []Traffic
	// FaultError is the error from injecting or repairing the fault, if any.
	FaultError error
}

// run is a trial in progress.
type run struct {
	rig         *rig.Rig
	options     Options
	ledger      *ledger.Ledger
	utilisation ledger.Utilisation
	trackers    []backlogTracker
	backlogged  []bool
	// cutOff holds the keys of the engines in the failure domain that the
	// fault cuts off.
	cutOff           map[string]bool
	measurementStart time.Time
}

// backlogTracker counts the intervals between samples and those throughout which
// an organisation had requests waiting.
type backlogTracker struct {
	emptied             int
	samples, backlogged int
}

// record adds a sample of the organisation's queues at all routers: the number
// of waiting requests and how often a queue has run empty so far. It reports
// whether the organisation had requests waiting throughout since the sample
// before. For an organisation that calls a single router, this is certain if
// the queue never ran empty; for the others, record considers only whether
// requests wait now, since an empty queue at one router may coincide with
// requests waiting at another.
func (b *backlogTracker) record(waiting, emptied int, singleRouter bool) bool {
	backlogged := waiting > 0 && (!singleRouter || emptied == b.emptied)
	b.emptied = emptied
	b.samples++
	if backlogged {
		b.backlogged++
	}
	return backlogged
}

func (b *backlogTracker) share() float64 { return float64(b.backlogged) / float64(max(b.samples, 1)) }

// Run loads the installation and measures. It does not close the installation.
func Run(ctx context.Context, r *rig.Rig, o Options) Result {
	t := &run{rig: r, options: o, ledger: newLedger(o.Organisations)}
	t.trackers, t.backlogged = make([]backlogTracker, len(o.Organisations)), make([]bool, len(o.Organisations))
	t.cutOff = cutEngines(r, o.Fault)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	result := Result{Outcomes: make([]Outcome, len(o.Organisations))}
	var loads sync.WaitGroup
	for i := range o.Organisations {
		loads.Go(func() { result.Outcomes[i].Report = load.Run(loadCtx, t.loadSettings(i)) })
	}
	t.sample(ctx, o.WarmUp)
	t.measure(ctx, &result)
	stop()
	loads.Wait()
	return result
}

func newLedger(organisations []Organisation) *ledger.Ledger {
	names, weights := make([]string, len(organisations)), make([]float64, len(organisations))
	for i, organisation := range organisations {
		names[i], weights[i] = organisation.Name, organisation.Weight
	}
	return ledger.New(names, weights)
}

// loadSettings returns the load settings of the organisation with the given
// index.
func (t *run) loadSettings(i int) *load.Settings {
	organisation := t.options.Organisations[i]
	s := &load.Settings{
		Fixed: true, Keys: []string{rig.CallerKey(organisation.Name)}, Backlog: organisation.Backlog, CancelAtEnd: true,
		RequestMix: load.RequestMix{Kinds: []load.Kind{load.KindStream}, Model: rig.Model, Tokens: organisation.Tokens},
		OnToken:    func() { t.ledger.Add(i, 1) }, Resends: 3, Timeout: time.Minute,
		Seed: t.options.Seed + uint64(i),
	}
	for _, index := range organisation.Routers {
		s.Addresses = append(s.Addresses, t.rig.CallerAddress(index))
	}
	return s
}

// measure samples for the length of the measurement and fills in the result.
func (t *run) measure(ctx context.Context, result *Result) {
	o := t.options
	trafficBefore, tokensBefore := t.traffic(), t.receivedTokens()
	totalBefore := t.ledger.Total()
	t.utilisation = ledger.Utilisation{}
	t.ledger.Reset()
	clear(t.trackers)
	began := time.Now()
	t.measurementStart = began
	var faults sync.WaitGroup
	if o.Fault != nil {
		faults.Go(func() { result.FaultError = t.runFault(ctx) })
		t.sample(ctx, o.Fault.End+o.SettleTime)
		result.Gap = t.ledger.Gap()
		t.ledger.Reset()
		t.sample(ctx, o.Length-o.Fault.End-o.SettleTime)
		result.GapAfter = t.ledger.Gap()
	} else {
		t.sample(ctx, o.Length)
		result.Gap = t.ledger.Gap()
	}
	result.BackloggedShare = make([]float64, len(t.trackers))
	for i := range t.trackers {
		result.BackloggedShare[i] = t.trackers[i].share()
	}
	faults.Wait()
	elapsed := time.Since(began).Seconds()
	result.Utilisation = t.utilisation.Share()
	result.TokensPerSecond = float64(t.ledger.Total()-totalBefore) / elapsed
	result.Traffic = trafficRates(trafficBefore, t.traffic(), elapsed)
	for i, organisation := range o.Organisations {
		result.Outcomes[i].Organisation = organisation
		result.Outcomes[i].Tokens = t.ledger.Received(i) - tokensBefore[i]
		// The lengths of answers are uniformly distributed from 1 to this number.
		result.LargestCost = max(result.LargestCost, 2*organisation.Tokens-1)
	}
}

// receivedTokens returns the tokens that each organisation has received so far.
func (t *run) receivedTokens() []int64 {
	tokens := make([]int64, len(t.options.Organisations))
	for i := range tokens {
		tokens[i] = t.ledger.Received(i)
	}
	return tokens
}

// cutEngines returns the keys of the engines that the fault cuts off.
func cutEngines(r *rig.Rig, f *Fault) map[string]bool {
	cut := make(map[string]bool)
	for _, p := range r.Document.Pools {
		for _, e := range p.Endpoints {
			if f != nil && f.FailureDomain != "" && e.FailureDomain == f.FailureDomain {
				cut[e.Key()] = true
			}
		}
	}
	return cut
}

// faultActive reports whether the fault is in effect.
func (t *run) faultActive() bool {
	f := t.options.Fault
	if f == nil || t.measurementStart.IsZero() {
		return false
	}
	age := time.Since(t.measurementStart)
	return age >= f.At && age < f.End
}

// runFault injects the fault at its time and repairs it.
func (t *run) runFault(ctx context.Context) error {
	f := t.options.Fault
	sleep(ctx, f.At)
	if err := f.Begin(ctx, t.rig); err != nil {
		return err
	}
	sleep(ctx, f.End-f.At)
	if f.Repair == nil {
		return nil
	}
	return f.Repair(ctx, t.rig)
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sample records received service, queues and busy slots at regular intervals
// for the given time.
func (t *run) sample(ctx context.Context, length time.Duration) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		waiting := t.sampleQueues()
		t.ledger.Sample(t.backlogged)
		busy, slots := 0, 0
		for name, e := range t.rig.Platform.Engines {
			if e.Leaving() || t.cutOff[name] && t.faultActive() {
				continue
			}
			slots += t.options.SlotsPerEngine
			running, _ := e.RequestCounts()
			busy += min(running, t.options.SlotsPerEngine)
		}
		t.utilisation.AddPeriod(time.Now(), busy, slots, waiting > 0)
	}
}

// sampleQueues records which organisations have requests waiting, and returns
// the number of all waiting requests.
func (t *run) sampleQueues() int {
	routers, total := t.rig.Running(), 0
	for i, organisation := range t.options.Organisations {
		waiting, emptied := 0, 0
		for _, r := range routers {
			queue := r.Queue(organisation.Name)
			waiting += queue.Waiting
			emptied += queue.Emptied
		}
		t.backlogged[i] = t.trackers[i].record(waiting, emptied, len(organisation.Routers) == 1)
		total += waiting
	}
	return total
}

// traffic returns the present values of the counter metrics of each running
// router, among them those of control traffic.
func (t *run) traffic() map[string]map[string]int64 {
	countersByRouter := make(map[string]map[string]int64)
	for _, rt := range t.rig.Running() {
		counters := make(map[string]int64)
		rt.Registry().Each(func(name string, metric any) {
			if c, ok := metric.(metrics.Counter); ok {
				counters[name] = c.Count()
			}
		})
		countersByRouter[string(rt.Fleet().Self)] = counters
	}
	return countersByRouter
}

// trafficRates returns the rates of control traffic between two calls of
// traffic that are the given number of seconds apart.
func trafficRates(before, after map[string]map[string]int64, seconds float64) []Traffic {
	var rates []Traffic
	for _, router := range slices.Sorted(maps.Keys(after)) {
		counters := after[router]
		traffic := Traffic{Router: router, ByKind: make(map[string]float64)}
		for name, count := range counters {
			rate := float64(count-before[router][name]) / seconds
			if name == peer.MetricControlBytesTotal {
				traffic.BytesPerSecond = rate
			}
			if kind, ok := strings.CutPrefix(name, peer.MetricControlBytesPrefix); ok {
				traffic.ByKind[kind] = rate
			}
		}
		rates = append(rates, traffic)
	}
	return rates
}
