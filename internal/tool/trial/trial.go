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

// sampleInterval is the distance of the samples of service and of busy slots.
const sampleInterval = 10 * time.Millisecond

// Organisation is one organisation's load.
type Organisation struct {
	Name string
	// Weight is that of the operators' text.
	Weight float64
	// Backlog is the number of its requests that are kept waiting.
	Backlog int
	// Tokens is the mean length of its answers.
	Tokens int
	// Routers are the indices of the routers that it calls.
	Routers []int
}

// Fault is something done to the rig during a trial.
type Fault struct {
	// At and End are the instants of the fault and of its repair, counted
	// from the begin of the measurement.
	At, End time.Duration
	// FailureDomain is cut off meanwhile; its engines are no capacity then.
	FailureDomain string
	Begin         func(ctx context.Context, r *rig.Rig) error
	Repair        func(ctx context.Context, r *rig.Rig) error
}

// Options say how long to load and what to break.
type Options struct {
	Organisations []Organisation
	// Warm is the time before the measurement begins.
	Warm time.Duration
	// Length is the time of the measurement.
	Length time.Duration
	// SlotsPerEngine is the batch of each engine.
	SlotsPerEngine int
	Fault          *Fault
	// Settle is the time after the repair of a fault that is left out of the
	// gap after it.
	Settle time.Duration
	Seed   uint64
}

// Outcome is what one organisation got.
type Outcome struct {
	Organisation Organisation
	Report       *load.Report
	// Tokens is the service received during the measurement.
	Tokens int64
}

// Traffic is the control traffic of one router during the measurement.
type Traffic struct {
	Router string
	// BytesPerSecond counts every byte that left, framing included.
	BytesPerSecond float64
	// ByKind are the messages' bytes a second by kind.
	ByKind map[string]float64
}

// Result is what a trial measured.
type Result struct {
	Outcomes []Outcome
	// Gap is the fairness gap in tokens; with a fault, until it has been
	// repaired and has settled.
	Gap ledger.Gap
	// GapAfter is the gap in the time after that; zero without a fault.
	GapAfter ledger.Gap
	// Waited is, for each organisation, the share of the time in which it had
	// work waiting throughout; only then it counts for the gap.
	Waited []float64
	// Utilisation is the busy share of slot-time while work waited.
	Utilisation float64
	// TokensPerSecond is the service of all organisations together.
	TokensPerSecond float64
	// LargestCost is the largest cost of one request, in tokens.
	LargestCost int
	Traffic     []Traffic
	// FaultError is what went wrong in bringing about or repairing a fault.
	FaultError error
}

// run is a trial under way.
type run struct {
	rig     *rig.Rig
	options Options
	ledger  *ledger.Ledger
	usage   ledger.Utilisation
	lines   []line
	waited  []bool
	// cut are the engines of the FailureDomain that the fault cuts off.
	cut     map[string]bool
	faultAt time.Time
}

// line follows whether an organisation has work waiting throughout.
type line struct {
	emptied       int
	samples, held int
}

// note takes a look at the organisation's lines at its routers. One that calls
// a single router has waited throughout if its line never ran empty.
func (l *line) note(waiting, emptied int, single bool) bool {
	held := waiting > 0 && (!single || emptied == l.emptied)
	l.emptied = emptied
	l.samples++
	if held {
		l.held++
	}
	return held
}

func (l *line) share() float64 { return float64(l.held) / float64(max(l.samples, 1)) }

// Run loads the rig and measures. The rig stays open.
func Run(ctx context.Context, r *rig.Rig, o Options) Result {
	t := &run{rig: r, options: o, ledger: newLedger(o.Organisations)}
	t.lines, t.waited = make([]line, len(o.Organisations)), make([]bool, len(o.Organisations))
	t.cut = cutEngines(r, o.Fault)
	loading, stop := context.WithCancel(ctx)
	defer stop()
	result := Result{Outcomes: make([]Outcome, len(o.Organisations))}
	var loads sync.WaitGroup
	for i := range o.Organisations {
		loads.Go(func() { result.Outcomes[i].Report = load.Run(loading, t.load(i)) })
	}
	t.sample(ctx, o.Warm)
	t.measure(ctx, &result)
	stop()
	loads.Wait()
	return result
}

func newLedger(organisations []Organisation) *ledger.Ledger {
	names, weights := make([]string, len(organisations)), make([]float64, len(organisations))
	for i, one := range organisations {
		names[i], weights[i] = one.Name, one.Weight
	}
	return ledger.New(names, weights)
}

// load is the load of the organisation with the index.
func (t *run) load(i int) *load.Settings {
	one := t.options.Organisations[i]
	s := &load.Settings{
		Fixed: true, Keys: []string{rig.Key(one.Name)}, Backlog: one.Backlog, CancelAtEnd: true,
		RequestMix: load.RequestMix{Kinds: []load.Kind{load.KindStream}, Model: rig.Model, Tokens: one.Tokens},
		OnToken:    func() { t.ledger.Add(i, 1) }, Resends: 3, Timeout: time.Minute,
		Seed: t.options.Seed + uint64(i),
	}
	for _, index := range one.Routers {
		s.Addresses = append(s.Addresses, t.rig.CallerAddress(index))
	}
	return s
}

// measure samples for the length of the trial and fills in the result.
func (t *run) measure(ctx context.Context, result *Result) {
	o := t.options
	before, tokens := t.traffic(), t.received()
	total := t.ledger.Total()
	t.usage = ledger.Utilisation{}
	t.ledger.Reset()
	clear(t.lines)
	began := time.Now()
	t.faultAt = began
	var faults sync.WaitGroup
	if o.Fault != nil {
		faults.Go(func() { result.FaultError = t.fault(ctx) })
		t.sample(ctx, o.Fault.End+o.Settle)
		result.Gap = t.ledger.Gap()
		t.ledger.Reset()
		t.sample(ctx, o.Length-o.Fault.End-o.Settle)
		result.GapAfter = t.ledger.Gap()
	} else {
		t.sample(ctx, o.Length)
		result.Gap = t.ledger.Gap()
	}
	result.Waited = make([]float64, len(t.lines))
	for i := range t.lines {
		result.Waited[i] = t.lines[i].share()
	}
	faults.Wait()
	elapsed := time.Since(began).Seconds()
	result.Utilisation = t.usage.Share()
	result.TokensPerSecond = float64(t.ledger.Total()-total) / elapsed
	result.Traffic = difference(before, t.traffic(), elapsed)
	for i, one := range o.Organisations {
		result.Outcomes[i].Organisation = one
		result.Outcomes[i].Tokens = t.ledger.Received(i) - tokens[i]
		result.LargestCost = max(result.LargestCost, 2*one.Tokens-1)
	}
}

func (t *run) received() []int64 {
	all := make([]int64, len(t.options.Organisations))
	for i := range all {
		all[i] = t.ledger.Received(i)
	}
	return all
}

// cutEngines names the engines that the fault cuts off.
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

// faulty tells whether the fault is in place.
func (t *run) faulty() bool {
	f := t.options.Fault
	if f == nil || t.faultAt.IsZero() {
		return false
	}
	age := time.Since(t.faultAt)
	return age >= f.At && age < f.End
}

// fault brings the fault about and repairs it.
func (t *run) fault(ctx context.Context) error {
	f := t.options.Fault
	pause(ctx, f.At)
	if err := f.Begin(ctx, t.rig); err != nil {
		return err
	}
	pause(ctx, f.End-f.At)
	if f.Repair == nil {
		return nil
	}
	return f.Repair(ctx, t.rig)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sample notes service and busy slots until the time is over.
func (t *run) sample(ctx context.Context, length time.Duration) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; <-ticker.C {
		waiting := t.look()
		t.ledger.Sample(t.waited)
		busy, slots := 0, 0
		for name, e := range t.rig.Platform.Engines {
			if e.Leaving() || t.cut[name] && t.faulty() {
				continue
			}
			slots += t.options.SlotsPerEngine
			running, _ := e.RequestCounts()
			busy += min(running, t.options.SlotsPerEngine)
		}
		t.usage.AddPeriod(time.Now(), busy, slots, waiting > 0)
	}
}

// look notes who waits, and returns the number of waiting requests.
func (t *run) look() int {
	routers, total := t.rig.Running(), 0
	for i, one := range t.options.Organisations {
		waiting, emptied := 0, 0
		for _, r := range routers {
			l := r.Queue(one.Name)
			waiting += l.Waiting
			emptied += l.Emptied
		}
		t.waited[i] = t.lines[i].note(waiting, emptied, len(one.Routers) == 1)
		total += waiting
	}
	return total
}

// traffic reads the counters of control traffic of all running routers.
func (t *run) traffic() map[string]map[string]int64 {
	all := make(map[string]map[string]int64)
	for _, one := range t.rig.Running() {
		counters := make(map[string]int64)
		one.Registry().Each(func(name string, metric any) {
			if c, ok := metric.(metrics.Counter); ok {
				counters[name] = c.Count()
			}
		})
		all[string(one.Fleet().Self)] = counters
	}
	return all
}

func difference(before, after map[string]map[string]int64, seconds float64) []Traffic {
	var all []Traffic
	for _, router := range slices.Sorted(maps.Keys(after)) {
		counters := after[router]
		one := Traffic{Router: router, ByKind: make(map[string]float64)}
		for name, count := range counters {
			rate := float64(count-before[router][name]) / seconds
			if name == peer.MetricControlBytesTotal {
				one.BytesPerSecond = rate
			}
			if kind, ok := strings.CutPrefix(name, peer.MetricControlBytesPrefix); ok {
				one.ByKind[kind] = rate
			}
		}
		all = append(all, one)
	}
	return all
}
