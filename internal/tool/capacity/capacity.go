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
	targetTokens        = 1.2e6
	targetChanges       = 490 // a day
	targetDomains       = 4
)

// The bounds of control work for one node, and the share of non-idempotent
// requests that is taken for the claims' load.
const (
	boundCore      = 0.011
	boundBytes     = 64 << 20
	boundTraffic   = 24 << 10 // bytes a second
	claimsASecond  = 500
	framing        = 60 // bytes that drpc, TCP and IP add to a lone message
	secondsADay    = 86400
	claimKeepHours = 1
)

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
func Run(w io.Writer, seed uint64) []string {
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
	return sum(w, parts)
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
func sum(w io.Writer, parts []Part) []string {
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
	row := func(name string, value, bound, unit float64, format string) {
		verdict := "holds"
		if value > bound {
			verdict = "MISSED"
			missed = append(missed, fmt.Sprintf("%s: %.4g over %.4g", name, value*unit, bound*unit))
		}
		_, _ = fmt.Fprintf(w, "  %-26s target "+format+", worked out "+format+", margin %5.2f times: %s\n",
			name, bound*unit, value*unit, ratio(bound, value), verdict)
	}
	row("traffic, batched, KB/s", all.Bytes, boundTraffic, 1./1024, "%7.2f")
	row("traffic, unbatched, KB/s", all.Framed, boundTraffic, 1./1024, "%7.2f")
	row("processor, % of a core", all.Core, boundCore, 100, "%7.3f")
	row("memory, MB", all.Heap, boundBytes, 1./(1<<20), "%7.1f")
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
