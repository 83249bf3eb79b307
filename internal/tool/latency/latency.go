package latency

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/load"
	"hyssopreach/internal/tool/rig"
)

const (
	organisations = 16
	// standInConcurrency is so high that the stand-in never makes calls wait.
	standInConcurrency = 4096
	tryTimeout         = 30 * time.Second
	warmUp             = 2 * time.Second
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
	// Processor is the processor time of the whole process.
	Processor time.Duration
	// Allocations is the number of objects allocated.
	Allocations uint64
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

// perRequest divides by the number of answered requests.
func (s *Side) perRequest(total float64) float64 { return total / float64(max(1, s.Answered)) }

// ProcessorPerRequest is what the router adds to each request in processor
// time.
func (c *Comparison) ProcessorPerRequest() time.Duration {
	return time.Duration(c.Routed.perRequest(float64(c.Routed.Processor)) - c.Direct.perRequest(float64(c.Direct.Processor)))
}

// AllocationsPerRequest is the number of objects that the router adds to each
// request.
func (c *Comparison) AllocationsPerRequest() float64 {
	return c.Routed.perRequest(float64(c.Routed.Allocations)) - c.Direct.perRequest(float64(c.Direct.Allocations))
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
	_, _ = fmt.Fprintf(w, "%s AddedMedian=%v AddedP99=%v AddedProcessor=%v AddedAllocations=%.1f RequestsPerCore=%.0f\n",
		c.Name, c.Added(50), c.Added(99), c.ProcessorPerRequest(), c.AllocationsPerRequest(),
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
	r, err := startRig(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	m := &measurement{options: o, rig: r}
	m.slice(ctx, &Side{Latency: load.NewHistogram()}, m.settings(true, o.Callers[len(o.Callers)-1], 0), warmUp)
	report := &Report{}
	highest := 0.0
	for _, callers := range o.Callers {
		c := m.compare(ctx, fmt.Sprintf("Kind=%s Callers=%d", o.Kind, callers), callers, 0)
		c.Print(w)
		report.Closed = append(report.Closed, c)
		highest = max(highest, c.Routed.PerSecond())
	}
	report.HalfLoad = m.compare(ctx, fmt.Sprintf("Kind=%s HalfLoad=%.0f", o.Kind, highest/2), 0, highest/2)
	report.HalfLoad.Print(w)
	return report, ctx.Err()
}

func startRig(ctx context.Context, o Options) (*rig.Rig, error) {
	domains := []string{"Kharagpur"}
	platform := fleet.Default()
	platform.Plain.Concurrency, platform.Plain.CallTime = standInConcurrency, o.CallTime
	return rig.Start(ctx, rig.Options{
		Document: rig.Document(organisations, 1, 1, domains), Routers: 1, FailureDomains: domains,
		Platform: platform, EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
}

type measurement struct {
	options Options
	rig     *rig.Rig
}

// settings is the load on one side; perSecond makes the loop open.
func (m *measurement) settings(routed bool, callers int, perSecond float64) *load.Settings {
	s := &load.Settings{
		Fixed: true, Callers: callers, PerSecond: perSecond, Timeout: tryTimeout, Seed: m.options.Seed,
		Work: load.Work{Kinds: []load.Kind{m.options.Kind}, Model: rig.Model, Tokens: 20, PromptBytes: 400},
	}
	if !routed {
		s.Addresses = []netip.AddrPort{m.standIn()}
		return s
	}
	s.Addresses = []netip.AddrPort{m.rig.Routers[0].CallerAddress()}
	s.Work.PlainPrefix = "/services/" + rig.PlainService
	for _, organisation := range m.rig.Document.Organisations {
		s.Keys = append(s.Keys, rig.Key(organisation.Name))
	}
	return s
}

func (m *measurement) standIn() netip.AddrPort {
	pool := 1
	if m.options.Kind == load.KindStream || m.options.Kind == load.KindWhole {
		pool = 0
	}
	return m.rig.Document.Pools[pool].Endpoints[0].Address
}

// compare lets direct and routed calls take turns.
func (m *measurement) compare(ctx context.Context, name string, callers int, perSecond float64) *Comparison {
	c := &Comparison{Name: name, Direct: Side{Latency: load.NewHistogram()}, Routed: Side{Latency: load.NewHistogram()}}
	for range m.options.Rounds {
		m.slice(ctx, &c.Direct, m.settings(false, callers, perSecond), m.options.Slice)
		m.slice(ctx, &c.Routed, m.settings(true, callers, perSecond), m.options.Slice)
	}
	return c
}

// slice puts one load on one side and adds what it found.
func (m *measurement) slice(ctx context.Context, side *Side, s *load.Settings, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	processor, allocations := usage()
	report := load.Run(ctx, s)
	processorAfter, allocationsAfter := usage()
	side.Latency.Merge(report.Latency)
	side.Answered += report.Answered
	side.Failed += report.Requests - report.Answered
	side.Elapsed += report.Elapsed
	side.Processor += processorAfter - processor
	side.Allocations += allocationsAfter - allocations
}

// usage returns the processor time and the allocations of this process so far.
func usage() (processor time.Duration, allocations uint64) {
	var r syscall.Rusage
	// Getrusage of the own process can't fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), m.Mallocs
}
