package main

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/latency"
	"hyssopreach/internal/tool/load"
)

// latencyBounds hold for a router between callers and a plain service.
type latencyBounds struct {
	// AddedP99MillisAtHalfLoad bounds what the router adds to the 99th
	// percentile at half of its highest rate.
	AddedP99MillisAtHalfLoad float64
}

func latencyCommand() command {
	s := flaggy.NewSubcommand("latency")
	s.Description = "what a router adds to a call, against direct calls in turns in the same run"
	o := latency.Options{
		Callers: []int{1, 16, 256}, Rounds: 5, Slice: time.Second, CallTime: 5 * time.Millisecond, Seed: 1,
	}
	kind, profile := string(load.KindAsset), ""
	s.String(&kind, "k", "kind", "Asset, Share or Booking of a plain service, Stream or Whole of an engine")
	s.Int(&o.Rounds, "r", "rounds", "turns of each side")
	s.Duration(&o.Slice, "t", "slice", "length of a turn")
	s.Duration(&o.CallTime, "c", "call-time", "time of a plain call")
	s.UInt64(&o.Seed, "s", "seed", "random seed")
	s.String(&profile, "f", "profile", "file for a processor profile of the run")
	return command{s, func() ([]string, error) {
		o.Kind = load.Kind(kind)
		stop, err := startProfile(profile)
		if err != nil {
			return nil, err
		}
		defer stop()
		return measureLatency(o)
	}}
}

// startProfile writes a processor profile until the returned function is
// called; an empty name writes none.
func startProfile(name string) (stop func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

func measureLatency(o latency.Options) ([]string, error) {
	b, err := readBounds()
	if err != nil {
		return nil, err
	}
	fmt.Printf("latency: seed %d, %d turns of %v on each side, plain calls of %v\n", o.Seed, o.Rounds, o.Slice, o.CallTime)
	report, err := latency.Run(context.Background(), o, os.Stdout)
	if err != nil {
		return nil, err
	}
	var missed []string
	for _, c := range append(report.Closed, report.HalfLoad) {
		if failed := c.Direct.Failed + c.Routed.Failed; failed > 0 {
			missed = append(missed, fmt.Sprintf("%s: %d requests failed", c.Name, failed))
		}
	}
	bound := time.Duration(b.Latency.AddedP99MillisAtHalfLoad * float64(time.Millisecond))
	if added := report.HalfLoad.Added(99); added > bound {
		missed = append(missed, fmt.Sprintf("%s: %v added at p99, at most %v wanted", report.HalfLoad.Name, added, bound))
	}
	return missed, nil
}
