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
	// standInConcurrency is so high that the stand-in never makes calls wait.
	standInConcurrency = 4096
	// engineBatch lets an engine run that many chats at once.
	engineBatch = 64
	tryTimeout  = 30 * time.Second
	warmUp      = 2 * time.Second
)

// Options say what to measure.
type Options struct {
	// Kind is the kind of request; chats go to an engine, others to a plain
	// service.
	Kind load.Kind
	// Callers are the numbers of callers of the closed loops.
	Callers []int
	// Rounds is how often direct and routed take turns.
	Rounds int
	// Slice is the length of one turn.
	Slice time.Duration
	// Processors is the number of processors that the router may use.
	Processors int
	// Binary is the router's program; empty builds it.
	Binary string
	// Profile is a file for a processor profile of the router at half load;
	// empty writes none.
	Profile string
	// CallTime is the time of one call of the plain service.
	CallTime time.Duration
	Seed     uint64
}

// Side is one side of a comparison.
type Side struct {
	Latency *hdrhistogram.Histogram
	// Answered and Failed count requests.
	Answered int
	Failed   int
	Elapsed  time.Duration
	// Processor is the processor time of the router.
	Processor time.Duration
}

// Comparison is a load put on both sides.
type Comparison struct {
	Name   string
	Direct Side
	Routed Side
}

// Added is the difference at a quantile, for a percentage such as 99.
func (c *Comparison) Added(percent float64) time.Duration {
	return c.Routed.quantile(percent) - c.Direct.quantile(percent)
}

func (s *Side) quantile(percent float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// PerSecond is the rate of answered requests.
func (s *Side) PerSecond() float64 { return float64(s.Answered) / s.Elapsed.Seconds() }

// ProcessorPerRequest is the router's processor time for each request.
func (c *Comparison) ProcessorPerRequest() time.Duration {
	return c.Routed.Processor / time.Duration(max(1, c.Routed.Answered))
}

// Print writes the comparison as lines of key=value pairs.
func (c *Comparison) Print(w io.Writer) {
	for _, one := range []struct {
		name string
		side *Side
	}{{"Direct", &c.Direct}, {"Routed", &c.Routed}} {
		s := one.side
		_, _ = fmt.Fprintf(w, "%s Side=%s Median=%v P99=%v Longest=%v Answered=%d Failed=%d PerSecond=%.0f\n",
			c.Name, one.name, s.quantile(50), s.quantile(99), s.quantile(100), s.Answered, s.Failed, s.PerSecond())
	}
	_, _ = fmt.Fprintf(w, "%s AddedMedian=%v AddedP99=%v ProcessorPerRequest=%v RequestsPerCore=%.0f\n",
		c.Name, c.Added(50), c.Added(99), c.ProcessorPerRequest(),
		float64(time.Second)/float64(max(1, c.ProcessorPerRequest())))
}

// Report holds all comparisons.
type Report struct {
	// Closed has one comparison for each number of callers.
	Closed []*Comparison
	// HalfLoad is an open loop at half of the highest routed rate.
	HalfLoad *Comparison
}

// Run measures and prints as it goes.
func Run(ctx context.Context, o Options, w io.Writer) (*Report, error) {
	f, err := startFleet(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	m := &measurement{options: o, fleet: f}
	warm := &Side{Latency: load.NewHistogram()}
	if err := m.slice(ctx, warm, m.settings(true, o.Callers[len(o.Callers)-1], 0), warmUp); err != nil {
		return nil, err
	}
	report := &Report{}
	highest := 0.0
	for _, callers := range o.Callers {
		c, err := m.compare(ctx, fmt.Sprintf("Kind=%s Callers=%d", o.Kind, callers), callers, 0)
		if err != nil {
			return nil, err
		}
		c.Print(w)
		report.Closed = append(report.Closed, c)
		highest = max(highest, c.Routed.PerSecond())
	}
	profile := m.startProfile(ctx)
	report.HalfLoad, err = m.compare(ctx, fmt.Sprintf("Kind=%s HalfLoad=%.0f", o.Kind, highest/2), 0, highest/2)
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
		Binary: o.Binary, Document: rig.Document(organisations, 1, 1, domains), Routers: 1,
		FailureDomains: domains, Platform: platform, EntryHold: time.Second,
		Environment: []string{fmt.Sprintf("GOMAXPROCS=%d", o.Processors)},
	})
}

type measurement struct {
	options Options
	fleet   *process.Fleet
}

// settings is the load on one side; perSecond makes the loop open.
func (m *measurement) settings(routed bool, callers int, perSecond float64) *load.Settings {
	s := &load.Settings{
		Fixed: true, Callers: callers, PerSecond: perSecond, Timeout: tryTimeout, Seed: m.options.Seed,
		RequestMix: load.RequestMix{Kinds: []load.Kind{m.options.Kind}, Model: rig.Model, Tokens: 20, PromptBytes: 400},
	}
	if !routed {
		s.Addresses = []netip.AddrPort{m.standIn()}
		return s
	}
	s.Addresses = []netip.AddrPort{m.fleet.Settings[0].CallerAddress}
	s.RequestMix.PlainPrefix = "/services/" + rig.PlainService
	for _, organisation := range m.fleet.Rig.Document.Organisations {
		s.Keys = append(s.Keys, rig.Key(organisation.Name))
	}
	return s
}

func (m *measurement) standIn() netip.AddrPort {
	pool := 1
	if m.options.Kind == load.KindStream || m.options.Kind == load.KindWhole {
		pool = 0
	}
	return m.fleet.Rig.Document.Pools[pool].Endpoints[0].Address
}

// compare lets direct and routed calls take turns.
func (m *measurement) compare(ctx context.Context, name string, callers int, perSecond float64) (*Comparison, error) {
	c := &Comparison{Name: name, Direct: Side{Latency: load.NewHistogram()}, Routed: Side{Latency: load.NewHistogram()}}
	for range m.options.Rounds {
		for _, routed := range []bool{false, true} {
			side := &c.Direct
			if routed {
				side = &c.Routed
			}
			if err := m.slice(ctx, side, m.settings(routed, callers, perSecond), m.options.Slice); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// slice puts one load on one side and adds what it found.
func (m *measurement) slice(ctx context.Context, side *Side, s *load.Settings, length time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	before, err := m.fleet.Routers[0].ProcessorTime()
	if err != nil {
		return err
	}
	report := load.Run(limited, s)
	after, err := m.fleet.Routers[0].ProcessorTime()
	if err != nil {
		return err
	}
	side.Latency.Merge(report.Latency)
	side.Answered += report.Answered
	side.Failed += report.Requests - report.Answered
	side.Elapsed += report.Elapsed
	side.Processor += after - before
	return ctx.Err()
}
