package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/harness"
)

const (
	leastCost = 50   // tokens
	mostCost  = 4000 // tokens
	slots     = 8
	tokenRate = 100 // tokens a second for each request
)

// sceneA is the load of today: three of sixteen organisations flood through
// two routers, the others are spread unevenly, thin beside fat.
func sceneA(seed uint64, routers, endpoints int) harness.Settings {
	s := harness.Settings{
		Seed: seed, Routers: routers, Delay: 300 * time.Microsecond, MessageSize: size,
		WarmUp: 100 * time.Second, Length: 800 * time.Second,
	}
	for range endpoints {
		s.Endpoints = append(s.Endpoints, harness.Endpoint{
			Pool: "model", Slots: slots, Rate: tokenRate, FirstToken: 100 * time.Millisecond,
		})
	}
	for i := range 16 {
		o := harness.Organisation{
			Name: fmt.Sprintf("organisation%02d", i), Weight: 1,
			MinCost: leastCost, MaxCost: mostCost, Backlog: 40, Routers: []int{i % routers},
		}
		switch {
		case i < 3:
			o.Backlog, o.Routers = 400, []int{0, 1}
		case i < 9:
			o.Backlog = 1 + i%3
		case i < 12:
			o.Routers = []int{2 % routers}
		}
		s.Organisations = append(s.Organisations, o)
	}
	return s
}

func fairnessCommand() command {
	s := flaggy.NewSubcommand("fairness")
	s.Description = "fairness gap, utilisation and control traffic of scene A"
	seed, routers := uint64(1), 7
	var pools []int
	var only string
	s.UInt64(&seed, "s", "seed", "random seed")
	s.Int(&routers, "r", "routers", "number of routers")
	s.IntSlice(&pools, "p", "pool", "number of endpoints; may be repeated")
	s.String(&only, "o", "only", "measure this policy alone and check no bound")
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		if len(pools) == 0 {
			pools = []int{12, 40, 76}
		}
		var missed []string
		for _, endpoints := range pools {
			missed = append(missed, fairness(b.Fairness, seed, routers, endpoints, only)...)
		}
		return missed, nil
	}}
}

// fairness plays scene A with every policy and returns the missed bounds.
func fairness(b fairnessBounds, seed uint64, routers, endpoints int, only string) []string {
	fmt.Printf("scene A: seed %d, %d routers, %d endpoints of %d slots, costs %d to %d, 700 s after 100 s\n",
		seed, routers, endpoints, slots, leastCost, mostCost)
	results := map[string]harness.Result{}
	for _, p := range policies((slots + routers - 1) / routers) {
		if only != "" && only != p.name {
			continue
		}
		s := sceneA(seed, routers, endpoints)
		s.Policy = p.make
		r := harness.Run(s)
		results[p.name] = r
		printResult(p.name, &r)
	}
	if only != "" {
		return nil
	}
	return checkFairness(b, endpoints, results)
}

func printResult(name string, r *harness.Result) {
	messages, bytes := r.ControlTraffic()
	fmt.Printf("  %-14s gap %8.0f = %5.2f largest costs (whole run %8.0f), widest %s, utilisation %.4f, started %.1f/s, control %.1f messages/s %.0f B/s a router\n",
		name, r.Gap, r.Gap/r.LargestCost, r.GapWithWarmUp, r.WidestPair, r.Utilisation, r.StartsPerSecond, messages, bytes)
	for _, kind := range slices.Sorted(maps.Keys(r.Messages)) {
		rate := r.Messages[kind]
		fmt.Printf("    %-10s %8.2f messages/s %8.1f B/s\n", kind, rate, r.Bytes[kind])
	}
	for i, fault := range r.Violations {
		if i < 3 {
			fmt.Println("    broken:", fault)
		}
	}
}

func checkFairness(b fairnessBounds, endpoints int, results map[string]harness.Result) []string {
	share, queues := results["share"], results["router-queues"]
	var missed []string
	miss := func(format string, values ...any) {
		missed = append(missed, fmt.Sprintf("%d endpoints: ", endpoints)+fmt.Sprintf(format, values...))
	}
	if share.Gap > 2*max(share.LargestCost, share.InFlight) {
		miss("gap %.0f over the published bound", share.Gap)
	}
	if share.Gap > b.GapInLargestCosts*share.LargestCost {
		miss("gap %.0f over %.0f largest costs", share.Gap, b.GapInLargestCosts)
	}
	if share.Gap > b.GapToRouterQueues*queues.Gap {
		miss("gap %.0f over %.2f of router queues' %.0f", share.Gap, b.GapToRouterQueues, queues.Gap)
	}
	for name, r := range results {
		if r.Utilisation > share.Utilisation {
			miss("utilisation %.6f under %.6f of %s", share.Utilisation, r.Utilisation, name)
		}
	}
	if share.Utilisation < b.Utilisation {
		miss("utilisation %.4f under %.4f", share.Utilisation, b.Utilisation)
	}
	return append(missed, broken(&share)...)
}
