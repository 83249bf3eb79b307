package main

import (
	"fmt"
	"time"

	"hyssopreach/internal/tool/harness"
)

// sceneB returns the plain-service part of the load of the Tulpar deployment:
// short calls, of which those for assets and share links are urgent. If
// saturated is set, a backlog of other calls saturates the pool; otherwise
// there are only urgent calls.
func sceneB(seed uint64, saturated bool) harness.Settings {
	s := harness.Settings{
		Seed: seed, Routers: 7, Delay: 250 * time.Microsecond, MessageSize: messageSize,
		WarmUp: 10 * time.Second, Length: 20 * time.Second,
	}
	for range 4 {
		// A unit of service is a millisecond.
		s.Endpoints = append(s.Endpoints, harness.Endpoint{Pool: "board", Slots: slotsPerEndpoint, Rate: 1000, NoLoadReports: true})
	}
	for i := range 16 {
		o := harness.Organisation{
			Name: fmt.Sprintf("organisation%02d", i), Weight: 1, MinCost: 2, MaxCost: 8,
			Routers: []int{i % 7}, ArrivalInterval: 20 * time.Millisecond, Urgency: 10,
		}
		if saturated {
			o.Backlog = 20
		}
		if saturated && i < 3 {
			o.Backlog, o.Routers = 200, []int{0, 1}
		}
		s.Organisations = append(s.Organisations, o)
	}
	return s
}

// urgentBounds are the bounds for scene B.
type urgentBounds struct {
	// Utilisation is the minimum busy share of slot-time while requests wait,
	// with calls of 5 ms on average.
	Utilisation float64
	// WaitRatio is the maximum ratio of the 99th percentile of urgent calls'
	// waits with the pool saturated to the larger of 8 ms (the longest call)
	// and the same percentile without saturation.
	WaitRatio float64
}

func urgentCommand() command {
	return seededCommand("urgent", "waiting time of urgent calls and utilisation with calls of 5 ms, scene B",
		func(b bounds, seed uint64) []string { return measureUrgent(b.Urgent, seed) })
}

func measureUrgent(b urgentBounds, seed uint64) []string {
	fmt.Printf("scene B: seed %d, 7 routers, 4 plain endpoints of %d slots, calls of 2 to 8 ms, measured for 10 s after a warm-up of 10 s\n", seed, slotsPerEndpoint)
	var missed []string
	bestBaseline := 0.0
	for _, p := range policies((slotsPerEndpoint + 6) / 7) {
		unsaturatedScene, saturatedScene := sceneB(seed, false), sceneB(seed, true)
		unsaturatedScene.Policy, saturatedScene.Policy = p.newScheduler, p.newScheduler
		unsaturated, saturated := harness.Run(unsaturatedScene), harness.Run(saturatedScene)
		fmt.Printf("  %-14s urgent p99 wait %v unsaturated, %v saturated (other calls %v)\n",
			p.name, unsaturated.UrgentWait, saturated.UrgentWait, saturated.Wait)
		printResult(p.name, &saturated)
		if p.name != "share" {
			bestBaseline = max(bestBaseline, saturated.Utilisation)
			continue
		}
		if saturated.Utilisation < b.Utilisation {
			missed = append(missed, fmt.Sprintf("utilisation %.4f is below %.4f", saturated.Utilisation, b.Utilisation))
		}
		if reference := max(unsaturated.UrgentWait, 8*time.Millisecond); float64(saturated.UrgentWait) > b.WaitRatio*float64(reference) {
			missed = append(missed, fmt.Sprintf("wait of urgent calls %v exceeds %.1f times %v", saturated.UrgentWait, b.WaitRatio, reference))
		}
		missed = append(missed, violations(&saturated)...)
	}
	fmt.Printf("  best utilisation of a baseline %.4f\n", bestBaseline)
	return missed
}

// violations reports the guarantees that the schedulers of a scene violated.
func violations(r *harness.Result) []string {
	if len(r.Violations) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d guarantees violated, first: %s", len(r.Violations), r.Violations[0])}
}
