package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/latency"
	"hyssopreach/internal/tool/load"
)

// latencyBounds are the bounds for a router between callers and a plain
// service.
type latencyBounds struct {
	// AddedP99MillisAtHalfLoad is the maximum latency that the router adds to
	// the 99th percentile at half of its highest rate.
	AddedP99MillisAtHalfLoad float64
}

func latencyCommand() command {
	s := flaggy.NewSubcommand("latency")
	s.Description = "latency that a router adds to a call, compared with direct calls that alternate with routed ones in the same run"
	o := latency.Options{
		Callers: []int{1, 16, 256}, Rounds: 5, TurnLength: time.Second, CallTime: 5 * time.Millisecond,
		Processors: 2, Seed: 1,
	}
	kind := string(load.KindAsset)
	s.String(&kind, "k", "kind", "kind of request: Asset, Share or Booking for a plain service, Stream or Whole for an engine")
	s.Int(&o.Rounds, "r", "rounds", "number of turns for direct and for routed calls")
	s.Duration(&o.TurnLength, "t", "slice", "length of a turn")
	s.Duration(&o.CallTime, "c", "call-time", "duration of a call to the plain service")
	s.UInt64(&o.Seed, "s", "seed", "random seed")
	s.Int(&o.Processors, "p", "processors", "processors that the router may use")
	s.String(&o.Profile, "f", "profile", "file for a CPU profile of the router at half load")
	s.String(&o.Binary, "b", "binary", "the router's executable; built if not given")
	return command{s, func() ([]string, error) {
		o.Kind = load.Kind(kind)
		return measureLatency(o)
	}}
}

func measureLatency(o latency.Options) ([]string, error) {
	b, err := readBounds()
	if err != nil {
		return nil, err
	}
	fmt.Printf("latency: seed %d, %d turns of %v each for direct and routed calls, plain calls of %v, a router with %d processors\n",
		o.Seed, o.Rounds, o.TurnLength, o.CallTime, o.Processors)
	report, err := latency.Run(context.Background(), o, os.Stdout)
	if err != nil {
		return nil, err
	}
	var missed []string
	for _, c := range append(report.ClosedLoop, report.HalfLoad) {
		if failed := c.Direct.Failed + c.Routed.Failed; failed > 0 {
			missed = append(missed, fmt.Sprintf("%s: %d requests failed", c.Name, failed))
		}
	}
	bound := time.Duration(b.Latency.AddedP99MillisAtHalfLoad * float64(time.Millisecond))
	if added := report.HalfLoad.AddedLatency(99); added > bound {
		missed = append(missed, fmt.Sprintf("%s: router adds %v at p99, bound %v", report.HalfLoad.Name, added, bound))
	}
	return missed, nil
}
