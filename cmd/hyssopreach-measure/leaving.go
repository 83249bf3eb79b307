package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/outage"
)

// leavingBounds are the bounds for an endpoint that the VM list shows as
// leaving.
type leavingBounds struct {
	// LastRunSeconds is the maximum time until the endpoint receives its last
	// new request.
	LastRunSeconds float64
}

func leavingCommand() command {
	s := flaggy.NewSubcommand("leaving")
	s.Description = "time until a leaving endpoint receives its last new request, also if only one router can read the VM list"
	o := outage.LeavingOptions{Routers: 7, PerSecond: 200, Length: 9 * time.Second, Seed: 1}
	s.Int(&o.Routers, "r", "routers", "number of routers")
	s.Float64(&o.PerSecond, "p", "per-second", "requests per second")
	s.Duration(&o.Length, "t", "length", "length of each load")
	s.UInt64(&o.Seed, "s", "seed", "random seed")
	return command{s, func() ([]string, error) { return measureLeaving(o) }}
}

func measureLeaving(o outage.LeavingOptions) ([]string, error) {
	b, err := readBounds()
	if err != nil {
		return nil, err
	}
	bound := time.Duration(b.Leaving.LastRunSeconds * float64(time.Second))
	var missed []string
	for _, o.BlockVMList = range []bool{false, true} {
		fmt.Printf("leaving: seed %d, %d routers, %.0f requests/s, all routers but one cut off from the VM list: %t\n", o.Seed, o.Routers, o.PerSecond, o.BlockVMList)
		r, err := outage.Leaving(context.Background(), o, os.Stdout)
		if err != nil {
			return nil, err
		}
		if r.LastRun > bound {
			missed = append(missed, fmt.Sprintf("routers cut off from the VM list %t: last new request after %v, bound %v", o.BlockVMList, r.LastRun, bound))
		}
		if r.RunsBefore == 0 {
			missed = append(missed, fmt.Sprintf("routers cut off from the VM list %t: the endpoint received no requests before it left, so nothing was measured", o.BlockVMList))
		}
		if failed := r.Load.Requests - r.Load.Answered; failed > 0 {
			missed = append(missed, fmt.Sprintf("routers cut off from the VM list %t: %d requests were not answered", o.BlockVMList, failed))
		}
	}
	return missed, nil
}
