package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/outage"
)

func stopCommand() command {
	s := flaggy.NewSubcommand("stop")
	s.Description = "what callers notice when a router process is stopped and when one is killed"
	o := outage.StopOptions{PerSecond: 240, Length: 15 * time.Second, Seed: 1}
	s.String(&o.Binary, "b", "binary", "the router's program; built if not given")
	s.Float64(&o.PerSecond, "p", "per-second", "requests a second")
	s.Duration(&o.Length, "t", "length", "length of each of the two loads")
	s.UInt64(&o.Seed, "s", "seed", "random seed")
	return command{s, func() ([]string, error) { return measureStop(o) }}
}

// measureStop needs no bounds file: what it checks must never happen.
func measureStop(o outage.StopOptions) ([]string, error) {
	fmt.Printf("stop: seed %d, three router processes, %.0f requests/s, one stopped, then one killed\n", o.Seed, o.PerSecond)
	r, err := outage.Stop(context.Background(), o, os.Stdout)
	if err != nil {
		return nil, err
	}
	var missed []string
	miss := func(count int, format string) {
		if count > 0 {
			missed = append(missed, fmt.Sprintf(format, count))
		}
	}
	if r.StopError != nil {
		missed = append(missed, r.StopError.Error())
	}
	miss(r.Drain.Cut, "planned stop: %d answers cut")
	miss(r.Drain.Lost, "planned stop: %d requests lost without an answer")
	miss(r.Drain.Requests-r.Drain.Answered, "planned stop: %d requests were not answered in the end")
	miss(r.Drain.Wrong+r.Kill.Wrong, "%d wrong answers")
	miss(len(r.RanTwice), "%d keys ran twice")
	miss(len(r.FalseNotRun), "%d keys ran although their callers were told that they did not")
	return missed, nil
}
