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
	s.Description = "effects on callers when a router process is stopped as planned and when one is killed"
	o := outage.StopOptions{PerSecond: 240, Length: 15 * time.Second, Seed: 1}
	s.String(&o.Binary, "b", "binary", "the router's executable; built if not given")
	s.Float64(&o.PerSecond, "p", "per-second", "requests per second")
	s.Duration(&o.Length, "t", "length", "length of each of the two loads")
	s.UInt64(&o.Seed, "s", "seed", "random seed")
	return command{s, func() ([]string, error) { return measureStop(o) }}
}

// measureStop measures a planned stop and a kill. It needs no bounds file,
// since the failures that it checks for must never happen.
func measureStop(o outage.StopOptions) ([]string, error) {
	fmt.Printf("stop: seed %d, three router processes, %.0f requests/s, one stopped, then one killed\n", o.Seed, o.PerSecond)
	r, err := outage.Stop(context.Background(), o, os.Stdout)
	if err != nil {
		return nil, err
	}
	var missed []string
	addMissed := func(count int, format string) {
		if count > 0 {
			missed = append(missed, fmt.Sprintf(format, count))
		}
	}
	if r.StopError != nil {
		missed = append(missed, r.StopError.Error())
	}
	addMissed(r.Drain.Cut, "planned stop: %d answers cut off")
	addMissed(r.Drain.Lost, "planned stop: %d requests lost without an answer")
	addMissed(r.Drain.Requests-r.Drain.Answered, "planned stop: %d requests did not end in a complete answer")
	addMissed(r.Drain.Wrong+r.Kill.Wrong, "%d wrong answers")
	addMissed(len(r.RanTwice), "%d keys ran more than once")
	addMissed(len(r.FalseNotRun), "%d keys ran although their callers were told that they did not run")
	return missed, nil
}
