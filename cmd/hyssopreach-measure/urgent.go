package main

import (
	"fmt"
	"time"

	"hyssopreach/internal/tool/harness"
)

// sceneB is the plain-service part of Tulpar's mix: short calls of which
// assets and share links are urgent, with the other calls either a backlog
// that saturates the pool or none.
func sceneB(seed uint64, saturated bool) harness.Settings {
	s := harness.Settings{
		Seed: seed, Routers: 7, Delay: 250 * time.Microsecond, MessageSize: size,
		WarmUp: 10 * time.Second, Length: 20 * time.Second,
	}
	for range 4 {
		// A unit of service is a millisecond.
		s.Endpoints = append(s.Endpoints, harness.Endpoint{Pool: "board", Slots: slots, Rate: 1000, NoLoadReports: true})
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

// urgentBounds hold in scene B.
type urgentBounds struct {
	// Utilisation is the least busy share of slot-time while work waits, with
	// calls of 5 ms.
	Utilisation float64
	// WaitRatio bounds the 99th percentile of an urgent call's wait with the
	// pool saturated, against the longest of a call of 8 ms and the wait
	// without saturation.
	WaitRatio float64
}

func urgentCommand() command {
	return seededCommand("urgent", "wait of urgent calls and utilisation with calls of 5 ms, scene B",
		func(b bounds, seed uint64) []string { return urgent(b.Urgent, seed) })
}

func urgent(b urgentBounds, seed uint64) []string {
	fmt.Printf("scene B: seed %d, 7 routers, 4 plain endpoints of %d slots, calls of 2 to 8 ms, 10 s after 10 s\n", seed, slots)
	var missed []string
	best := 0.0
	for _, p := range policies((slots + 6) / 7) {
		quiet, full := sceneB(seed, false), sceneB(seed, true)
		quiet.Policy, full.Policy = p.make, p.make
		before, after := harness.Run(quiet), harness.Run(full)
		fmt.Printf("  %-14s urgent p99 wait %v unsaturated, %v saturated (other calls %v)\n",
			p.name, before.UrgentWait, after.UrgentWait, after.Wait)
		printResult(p.name, &after)
		if p.name != "share" {
			best = max(best, after.Utilisation)
			continue
		}
		if after.Utilisation < b.Utilisation {
			missed = append(missed, fmt.Sprintf("utilisation %.4f under %.4f", after.Utilisation, b.Utilisation))
		}
		if base := max(before.UrgentWait, 8*time.Millisecond); float64(after.UrgentWait) > b.WaitRatio*float64(base) {
			missed = append(missed, fmt.Sprintf("urgent wait %v over %.1f of %v", after.UrgentWait, b.WaitRatio, base))
		}
		missed = append(missed, broken(&after)...)
	}
	fmt.Printf("  best utilisation of a baseline %.4f\n", best)
	return missed
}

// broken lists the promises that a scene's schedulers broke.
func broken(r *harness.Result) []string {
	if len(r.Violations) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d broken promises, first: %s", len(r.Violations), r.Violations[0])}
}
