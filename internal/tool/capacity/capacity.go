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
	targetRouters           = 360
	targetEndpoints         = 610
	targetOrganisations     = 980
	targetModels            = 8
	targetRequestsPerSecond = 3800
	targetChangesPerDay     = 490
	targetDomains           = 4
)

const (
	// claimsPerSecond is the fleet's assumed rate of non-idempotent requests.
	claimsPerSecond = 500
	// frameBytes is the overhead of drpc, TCP and IP for a message that is
	// sent on its own.
	frameBytes    = 60
	secondsPerDay = 86400
)

// Bounds limits the cost of control work on one node.
type Bounds struct {
	// CorePercent is processor time, in hundredths of a core.
	CorePercent float64
	// MemoryMB is in units of 2^20 bytes, TrafficKBPerSecond of 2^10 bytes.
	MemoryMB           float64
	TrafficKBPerSecond float64
}

// Cost is the cost of a part for one router at one size of the fleet.
type Cost struct {
	Routers int
	// Messages and Bytes are the numbers of messages and bytes that are sent
	// per second. FramedBytes is the number of bytes per second if each message
	// has its own frame, without batching.
	Messages, Bytes, FramedBytes float64
	// Cores is the processor time, in cores.
	Cores float64
	// HeapBytes is the memory, in bytes.
	HeapBytes float64
	// Detail is additional text for the report, such as the traffic by kind of
	// message.
	Detail string
}

// Part is a part of the control work, with its costs at increasing sizes of
// the fleet.
type Part struct {
	Name string
	// Costs are ordered by size.
	Costs []Cost
	// Target is the cost at target size, extrapolated from the first and the
	// last of Costs.
	Target Cost
}

// linearAt returns the value at x of the line through two points.
func linearAt(x, x1, y1, x2, y2 float64) float64 {
	return y1 + (y2-y1)*(x-x1)/(x2-x1)
}

// extrapolateTarget sets Target. No figure of it is negative.
func (p *Part) extrapolateTarget() {
	a, b := p.Costs[0], p.Costs[len(p.Costs)-1]
	extrapolate := func(field func(Cost) float64) float64 {
		return max(0, linearAt(targetRouters, float64(a.Routers), field(a), float64(b.Routers), field(b)))
	}
	p.Target = Cost{
		Routers:     targetRouters,
		Messages:    extrapolate(func(c Cost) float64 { return c.Messages }),
		Bytes:       extrapolate(func(c Cost) float64 { return c.Bytes }),
		FramedBytes: extrapolate(func(c Cost) float64 { return c.FramedBytes }),
		Cores:       extrapolate(func(c Cost) float64 { return c.Cores }),
		HeapBytes:   extrapolate(func(c Cost) float64 { return c.HeapBytes }),
	}
}

// measurement is a part, the sizes at which it is measured, and the function
// that measures it at one size.
type measurement struct {
	name    string
	sizes   []int
	measure func(routers int) Cost
}

// Run measures all parts and prints their costs, also at target size. It
// returns a description of each exceeded bound.
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
		p.extrapolateTarget()
		p.print(w)
		parts = append(parts, p)
	}
	return printTotals(w, parts, bounds)
}

func (p *Part) print(w io.Writer) {
	_, _ = fmt.Fprintln(w, p.Name)
	for i, c := range append(slices.Clone(p.Costs), p.Target) {
		note := ""
		if i == len(p.Costs) {
			note = "  extrapolated"
		}
		_, _ = fmt.Fprintf(w, "  %4d routers: %8.1f messages/s %9.0f B/s (%9.0f framed) %8.4f %% of a core %9.0f KB%s%s\n",
			c.Routers, c.Messages, c.Bytes, c.FramedBytes, 100*c.Cores, c.HeapBytes/1024, note, c.Detail)
	}
	first, last := p.Costs[0], p.Costs[len(p.Costs)-1]
	_, _ = fmt.Fprintf(w, "  growth from N to 8N: messages %.2f, bytes %.2f, core %.2f, heap %.2f\n",
		ratio(last.Messages, first.Messages), ratio(last.Bytes, first.Bytes), ratio(last.Cores, first.Cores), ratio(last.HeapBytes, first.HeapBytes))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// printTotals prints the totals of all parts at target size, compares them
// with the bounds, and returns a description of each exceeded bound.
func printTotals(w io.Writer, parts []Part, bounds Bounds) []string {
	var all Cost
	for i := range parts {
		t := &parts[i].Target
		all.Bytes += t.Bytes
		all.FramedBytes += t.FramedBytes
		all.Cores += t.Cores
		all.HeapBytes += t.HeapBytes
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
		_, _ = fmt.Fprintf(w, "  %-26s bound %7.2f, extrapolated %7.2f, margin %5.2f times: %s\n",
			name, bound, value, ratio(bound, value), verdict)
	}
	const kilo, mega = 1 << 10, 1 << 20
	row("traffic, batched, KB/s", all.Bytes/kilo, bounds.TrafficKBPerSecond)
	row("traffic, unbatched, KB/s", all.FramedBytes/kilo, bounds.TrafficKBPerSecond)
	row("processor, % of a core", 100*all.Cores, bounds.CorePercent)
	row("memory, MB", all.HeapBytes/mega, bounds.MemoryMB)
	return missed
}

// retainedHeap returns the bytes of heap that remain reachable from the result
// of build.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc))
}

// timed returns the run time of do.
func timed(do func()) time.Duration {
	start := time.Now()
	do()
	return time.Since(start)
}
