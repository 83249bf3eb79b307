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
	minCost          = 50   // tokens
	maxCost          = 4000 // tokens
	slotsPerEndpoint = 8
	tokensPerSecond  = 100 // for each running request
)

// sceneA returns the present production load: three of sixteen organisations
// send a large backlog through two routers, and the others are distributed
// unevenly over the routers, small backlogs next to larger ones.
func sceneA(seed uint64, routers, endpoints int) harness.Settings {
	s := harness.Settings{
		Seed: seed, Routers: routers, Delay: 300 * time.Microsecond, MessageSize: messageSize,
		WarmUp: 100 * time.Second, Length: 800 * time.Second,
	}
	for range endpoints {
		s.Endpoints = append(s.Endpoints, harness.Endpoint{
			Pool: "model", Slots: slotsPerEndpoint, Rate: tokensPerSecond, FirstToken: 100 * time.Millisecond,
		})
	}
	for i := range 16 {
		o := harness.Organisation{
			Name: fmt.Sprintf("organisation%02d", i), Weight: 1,
			MinCost: minCost, MaxCost: maxCost, Backlog: 40, Routers: []int{i % routers},
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
	var endpointCounts []int
	var onlyPolicy string
	s.UInt64(&seed, "s", "seed", "random seed")
	s.Int(&routers, "r", "routers", "number of routers")
	s.IntSlice(&endpointCounts, "p", "pool", "number of endpoints; may be repeated")
	s.String(&onlyPolicy, "o", "only", "measure only this policy and check no bounds")
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		if len(endpointCounts) == 0 {
			endpointCounts = []int{12, 40, 76}
		}
		var missed []string
		for _, endpoints := range endpointCounts {
			missed = append(missed, measureFairness(b.Fairness, seed, routers, endpoints, onlyPolicy)...)
		}
		return missed, nil
	}}
}

// measureFairness simulates scene A with each policy and returns the missed
// bounds.
func measureFairness(b fairnessBounds, seed uint64, routers, endpoints int, onlyPolicy string) []string {
	fmt.Printf("scene A: seed %d, %d routers, %d endpoints of %d slots, costs %d to %d, measured for 700 s after a warm-up of 100 s\n",
		seed, routers, endpoints, slotsPerEndpoint, minCost, maxCost)
	results := map[string]harness.Result{}
	for _, p := range policies((slotsPerEndpoint + routers - 1) / routers) {
		if onlyPolicy != "" && onlyPolicy != p.name {
			continue
		}
		s := sceneA(seed, routers, endpoints)
		s.Policy = p.newScheduler
		r := harness.Run(s)
		results[p.name] = r
		printResult(p.name, &r)
	}
	if onlyPolicy != "" {
		return nil
	}
	return checkFairness(b, endpoints, results)
}

func printResult(name string, r *harness.Result) {
	messages, bytes := r.ControlTraffic()
	fmt.Printf("  %-14s gap %8.0f = %5.2f largest costs (whole run %8.0f), largest between %s, utilisation %.4f, started %.1f/s, control %.1f messages/s %.0f B/s per router\n",
		name, r.Gap, r.Gap/r.LargestCost, r.GapWithWarmUp, r.WidestPair, r.Utilisation, r.StartsPerSecond, messages, bytes)
	for _, kind := range slices.Sorted(maps.Keys(r.Messages)) {
		rate := r.Messages[kind]
		fmt.Printf("    %-10s %8.2f messages/s %8.1f B/s\n", kind, rate, r.Bytes[kind])
	}
	for i, violation := range r.Violations {
		if i < 3 {
			fmt.Println("    broken:", violation)
		}
	}
}

func checkFairness(b fairnessBounds, endpoints int, results map[string]harness.Result) []string {
	fairShare, routerQueues := results["share"], results["router-queues"]
	var missed []string
	addMissed := func(format string, values ...any) {
		missed = append(missed, fmt.Sprintf("%d endpoints: ", endpoints)+fmt.Sprintf(format, values...))
	}
	if fairShare.Gap > 2*max(fairShare.LargestCost, fairShare.InFlight) {
		addMissed("gap %.0f exceeds twice the larger of the largest cost and the service in flight", fairShare.Gap)
	}
	if fairShare.Gap > b.GapInLargestCosts*fairShare.LargestCost {
		addMissed("gap %.0f exceeds %.0f largest costs", fairShare.Gap, b.GapInLargestCosts)
	}
	if fairShare.Gap > b.GapToRouterQueues*routerQueues.Gap {
		addMissed("gap %.0f exceeds %.2f times the %.0f of router-queues", fairShare.Gap, b.GapToRouterQueues, routerQueues.Gap)
	}
	for name, r := range results {
		if r.Utilisation > fairShare.Utilisation {
			addMissed("utilisation %.6f is below the %.6f of %s", fairShare.Utilisation, r.Utilisation, name)
		}
	}
	if fairShare.Utilisation < b.Utilisation {
		addMissed("utilisation %.4f is below %.4f", fairShare.Utilisation, b.Utilisation)
	}
	return append(missed, violations(&fairShare)...)
}
