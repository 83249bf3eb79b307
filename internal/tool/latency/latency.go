package latency

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/load"
	"hyssopreach/internal/tool/process"
	"hyssopreach/internal/tool/rig"
)

const (
	organisations = 16
	// standInConcurrency is high enough that calls never queue at the stand-in.
	standInConcurrency = 4096
	// engineBatch is the maximum number of chats that the engine runs
	// concurrently.
	engineBatch    = 64
	attemptTimeout = 30 * time.Second
	warmUpTime     = 2 * time.Second
)

// Options configures a measurement.
type Options struct {
	// Kind is the kind of request. Chats go to an engine, other requests to a
	// plain service.
	Kind load.Kind
	// Callers holds the number of callers of each closed-loop load.
	Callers []int
	// Rounds is the number of rounds. Each round has one turn of direct calls
	// and one of routed calls.
	Rounds int
	// TurnLength is the length of one turn.
	TurnLength time.Duration
	// Processors is the number of processors that the router may use.
	Processors int
	// Binary is the path of the router's executable; if empty, it is built.
	Binary string
	// Profile is the file for a CPU profile of the router at half load; if
	// empty, none is written.
	Profile string
	// CallTime is the duration of one call to the plain service.
	CallTime time.Duration
	Seed     uint64
}

// Side holds the figures of either the direct or the routed calls of a
// comparison.
type Side struct {
	Latency *hdrhistogram.Histogram
	// Answered and Failed count requests.
	Answered int
	Failed   int
	Elapsed  time.Duration
	// ProcessorTime is the processor time that the router used.
	ProcessorTime time.Duration
}

// Comparison compares direct with routed calls under the same load.
type Comparison struct {
	Name   string
	Direct Side
	Routed Side
}

// AddedLatency returns the latency that the router adds at a percentile, such as
// 99.
func (c *Comparison) AddedLatency(percent float64) time.Duration {
	return c.Routed.percentile(percent) - c.Direct.percentile(percent)
}

func (s *Side) percentile(percent float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// PerSecond returns the rate of answered requests.
func (s *Side) PerSecond() float64 { return float64(s.Answered) / s.Elapsed.Seconds() }

// ProcessorPerRequest returns the router's processor time per answered request.
func (c *Comparison) ProcessorPerRequest() time.Duration {
	return c.Routed.ProcessorTime / time.Duration(max(1, c.Routed.Answered))
}

// Print writes the comparison as lines of key=value pairs.
func (c *Comparison) Print(w io.Writer) {
	for _, entry := range []struct {
		name string
		side *Side
	}{{"Direct", &c.Direct}, {"Routed", &c.Routed}} {
		s := entry.side
		_, _ = fmt.Fprintf(w, "%s Side=%s Median=%v P99=%v Longest=%v Answered=%d Failed=%d PerSecond=%.0f\n",
			c.Name, entry.name, s.percentile(50), s.percentile(99), s.percentile(100), s.Answered, s.Failed, s.PerSecond())
	}
	_, _ = fmt.Fprintf(w, "%s AddedMedian=%v AddedP99=%v ProcessorPerRequest=%v RequestsPerCore=%.0f\n",
		c.Name, c.AddedLatency(50), c.AddedLatency(99), c.ProcessorPerRequest(),
		float64(time.Second)/float64(max(1, c.ProcessorPerRequest())))
}

// Report holds all comparisons.
type Report struct {
	// ClosedLoop holds a closed-loop comparison for each number of callers.
	ClosedLoop []*Comparison
	// HalfLoad is an open-loop comparison at half of the highest rate that the
	// router reached in the closed loops.
	HalfLoad *Comparison
}

// Run performs the measurement. It prints each comparison when it is complete.
func Run(ctx context.Context, o Options, w io.Writer) (*Report, error) {
	f, err := startFleet(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	m := &measurement{options: o, fleet: f}
	discarded := &Side{Latency: load.NewHistogram()}
	if err := m.runTurn(ctx, discarded, m.loadSettings(true, o.Callers[len(o.Callers)-1], 0), warmUpTime); err != nil {
		return nil, err
	}
	report := &Report{}
	highestRate := 0.0
	for _, callers := range o.Callers {
		c, err := m.compare(ctx, fmt.Sprintf("Kind=%s Callers=%d", o.Kind, callers), callers, 0)
		if err != nil {
			return nil, err
		}
		c.Print(w)
		report.ClosedLoop = append(report.ClosedLoop, c)
		highestRate = max(highestRate, c.Routed.PerSecond())
	}
	profile := m.startProfile(ctx)
	report.HalfLoad, err = m.compare(ctx, fmt.Sprintf("Kind=%s HalfLoad=%.0f", o.Kind, highestRate/2), 0, highestRate/2)
	if err != nil {
		return nil, err
	}
	report.HalfLoad.Print(w)
	return report, <-profile
}

func startFleet(ctx context.Context, o Options) (*process.Fleet, error) {
	domains := []string{"Kharagpur"}
	platform := fleet.Default()
	platform.Plain.Concurrency, platform.Plain.CallTime = standInConcurrency, o.CallTime
	platform.Engine.MaxBatch = engineBatch
	return process.StartFleet(ctx, process.FleetOptions{
		Binary: o.Binary, Document: rig.NewDocument(organisations, 1, 1, domains), Routers: 1,
		FailureDomains: domains, Platform: platform, EntryHold: time.Second,
		Environment: []string{fmt.Sprintf("GOMAXPROCS=%d", o.Processors)},
	})
}

type measurement struct {
	options Options
	fleet   *process.Fleet
}

// loadSettings returns the settings of a load of direct or routed calls. The
// load is an open loop if perSecond is not zero.
func (m *measurement) loadSettings(routed bool, callers int, perSecond float64) *load.Settings {
	s := &load.Settings{
		Fixed: true, Callers: callers, PerSecond: perSecond, Timeout: attemptTimeout, Seed: m.options.Seed,
		RequestMix: load.RequestMix{Kinds: []load.Kind{m.options.Kind}, Model: rig.Model, Tokens: 20, PromptBytes: 400},
	}
	if !routed {
		s.Addresses = []netip.AddrPort{m.standInAddress()}
		return s
	}
	s.Addresses = []netip.AddrPort{m.fleet.Settings[0].CallerAddress}
	s.RequestMix.PlainPrefix = "/services/" + rig.PlainService
	for _, organisation := range m.fleet.Rig.Document.Organisations {
		s.Keys = append(s.Keys, rig.CallerKey(organisation.Name))
	}
	return s
}

// standInAddress returns the address of the stand-in for the kind of request. The
// engines are the first pool of the document, and the plain service's endpoints
// the second.
func (m *measurement) standInAddress() netip.AddrPort {
	pool := 1
	if m.options.Kind == load.KindStream || m.options.Kind == load.KindUnstreamed {
		pool = 0
	}
	return m.fleet.Rig.Document.Pools[pool].Endpoints[0].Address
}

// compare alternates turns of direct and routed calls and returns the figures
// of both.
func (m *measurement) compare(ctx context.Context, name string, callers int, perSecond float64) (*Comparison, error) {
	c := &Comparison{Name: name, Direct: Side{Latency: load.NewHistogram()}, Routed: Side{Latency: load.NewHistogram()}}
	for range m.options.Rounds {
		for _, routed := range []bool{false, true} {
			side := &c.Direct
			if routed {
				side = &c.Routed
			}
			if err := m.runTurn(ctx, side, m.loadSettings(routed, callers, perSecond), m.options.TurnLength); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// runTurn runs one turn of a load and adds its figures to the side.
func (m *measurement) runTurn(ctx context.Context, side *Side, s *load.Settings, length time.Duration) error {
	turnCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	before, err := m.fleet.Routers[0].ProcessorTime()
	if err != nil {
		return err
	}
	report := load.Run(turnCtx, s)
	after, err := m.fleet.Routers[0].ProcessorTime()
	if err != nil {
		return err
	}
	side.Latency.Merge(report.Latency)
	side.Answered += report.Answered
	side.Failed += report.Requests - report.Answered
	side.Elapsed += report.Elapsed
	side.ProcessorTime += after - before
	return ctx.Err()
}
