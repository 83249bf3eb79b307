package capacity

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"
)

// The target size of the fleet.
const (
	targetRouters       = 360
	targetEndpoints     = 610
	targetOrganisations = 980
	targetModels        = 8
	targetRequests      = 3800 // a second
	targetChanges       = 490  // a day
	targetDomains       = 4
)

// claimsASecond is the rate of non-idempotent requests that is taken for the
// claims' load; framing is what drpc, TCP and IP add to a lone message.
const (
	claimsASecond = 500
	framing       = 60 // bytes
	secondsADay   = 86400
)

// Bounds are what control work may cost one node.
type Bounds struct {
	// CorePercent is processor time, in hundredths of a core.
	CorePercent float64
	// MemoryMB is in units of 2^20 bytes, TrafficKBPerSecond of 2^10 bytes.
	MemoryMB           float64
	TrafficKBPerSecond float64
}

// Cost is what a part costs one router at one size of the fleet.
type Cost struct {
	Routers int
	// Messages and Bytes are sent a second; Framed counts each message in a
	// frame of its own, which batching lowers.
	Messages, Bytes, Framed float64
	// Core is the processor time, in cores.
	Core float64
	// Heap is the memory, in bytes.
	Heap float64
	// Detail breaks the messages down, for the report.
	Detail string
}

// Part is a part of the control work with its costs at growing sizes.
type Part struct {
	Name string
	// Costs are ordered by size.
	Costs []Cost
	// Target is worked out from the first and the last of Costs.
	Target Cost
}

// line returns the value at x of the line through two points.
func line(x, x1, y1, x2, y2 float64) float64 {
	return y1 + (y2-y1)*(x-x1)/(x2-x1)
}

// extrapolate fills in Target.
func (p *Part) extrapolate() {
	a, b := p.Costs[0], p.Costs[len(p.Costs)-1]
	at := func(of func(Cost) float64) float64 {
		return max(0, line(targetRouters, float64(a.Routers), of(a), float64(b.Routers), of(b)))
	}
	p.Target = Cost{
		Routers:  targetRouters,
		Messages: at(func(c Cost) float64 { return c.Messages }),
		Bytes:    at(func(c Cost) float64 { return c.Bytes }),
		Framed:   at(func(c Cost) float64 { return c.Framed }),
		Core:     at(func(c Cost) float64 { return c.Core }),
		Heap:     at(func(c Cost) float64 { return c.Heap }),
	}
}

// measurement is one part and how it is measured at one size.
type measurement struct {
	name    string
	sizes   []int
	measure func(routers int) Cost
}

// Run measures all parts and prints them with the figures at target size. It
// returns the bounds that are missed.
func Run(w io.Writer, seed uint64, bounds Bounds) []string {
	sizes := []int{45, 90, 180, 360}
	all := []measurement{
		{"scheduling", []int{6, 12, 24, 48}, func(n int) Cost { return scheduling(n, seed) }},
		{"heartbeat", sizes, func(n int) Cost { return heartbeat(n, seed) }},
		{"endpoint watch", sizes, func(n int) Cost { return endpointWatch(n, seed) }},
		{"configuration", sizes, configuration},
		{"claim writer", sizes, claimWriter},
	}
	_, _ = fmt.Fprintf(w, "seed %d; figures are for one router\n", seed)
	parts := make([]Part, 0, len(all))
	for _, m := range all {
		p := Part{Name: m.name}
		for _, n := range m.sizes {
			p.Costs = append(p.Costs, m.measure(n))
		}
		p.extrapolate()
		p.print(w)
		parts = append(parts, p)
	}
	return sum(w, parts, bounds)
}

func (p *Part) print(w io.Writer) {
	_, _ = fmt.Fprintln(w, p.Name)
	for i, c := range append(slices.Clone(p.Costs), p.Target) {
		note := ""
		if i == len(p.Costs) {
			note = "  worked out"
		}
		_, _ = fmt.Fprintf(w, "  %4d routers: %8.1f messages/s %9.0f B/s (%9.0f framed) %8.4f %% of a core %9.0f KB%s%s\n",
			c.Routers, c.Messages, c.Bytes, c.Framed, 100*c.Core, c.Heap/1024, note, c.Detail)
	}
	first, last := p.Costs[0], p.Costs[len(p.Costs)-1]
	_, _ = fmt.Fprintf(w, "  growth from N to 8N: messages %.2f, bytes %.2f, core %.2f, heap %.2f\n",
		ratio(last.Messages, first.Messages), ratio(last.Bytes, first.Bytes), ratio(last.Core, first.Core), ratio(last.Heap, first.Heap))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// sum adds the parts up and compares them with the bounds.
func sum(w io.Writer, parts []Part, bounds Bounds) []string {
	var all Cost
	for i := range parts {
		t := &parts[i].Target
		all.Bytes += t.Bytes
		all.Framed += t.Framed
		all.Core += t.Core
		all.Heap += t.Heap
	}
	_, _ = fmt.Fprintf(w, "a router with all roles at %d routers, %d endpoints, %d organisations\n",
		targetRouters, targetEndpoints, targetOrganisations)
	var missed []string
	row := func(name string, value, bound float64) {
		verdict := "holds"
		if value > bound {
			verdict = "MISSED"
			missed = append(missed, fmt.Sprintf("%s: %.4g over %.4g", name, value, bound))
		}
		_, _ = fmt.Fprintf(w, "  %-26s target %7.2f, worked out %7.2f, margin %5.2f times: %s\n",
			name, bound, value, ratio(bound, value), verdict)
	}
	const kilo, mega = 1 << 10, 1 << 20
	row("traffic, batched, KB/s", all.Bytes/kilo, bounds.TrafficKBPerSecond)
	row("traffic, unbatched, KB/s", all.Framed/kilo, bounds.TrafficKBPerSecond)
	row("processor, % of a core", 100*all.Core, bounds.CorePercent)
	row("memory, MB", all.Heap/mega, bounds.MemoryMB)
	return missed
}

// heapOf returns the bytes that stay reachable from what make returns.
func heapOf(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc))
}

// timed returns the time that do takes.
func timed(do func()) time.Duration {
	start := time.Now()
	do()
	return time.Since(start)
}
