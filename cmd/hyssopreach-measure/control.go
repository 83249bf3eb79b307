package main

import (
	"fmt"
	"time"

	"hyssopreach/internal/tool/harness"
)

// controlBounds are the bounds for the control traffic of scheduling.
type controlBounds struct {
	// BytesPerSecond is the maximum rate at which a router may send control
	// messages at the target size. It is checked in the largest simulated
	// fleet, which has 112 routers.
	BytesPerSecond float64
	// Growth is the maximum ratio of the rate of one router at 112 routers to
	// that at 28, with the load in proportion. It allows logarithmic growth:
	// log 112 / log 28.
	Growth float64
}

func controlCommand() command {
	return seededCommand("control", "control traffic of scheduling at 3 to 112 routers",
		func(b bounds, seed uint64) []string { return measureControl(b.Control, seed) })
}

// measureControl simulates fleets of growing size, in which the endpoints and
// organisations grow in proportion to the routers. The target size has 610
// endpoints and 98 backlogged organisations for 360 routers. The simulated
// fleets have about as many endpoints per router, and about twice as many
// backlogged organisations.
func measureControl(b controlBounds, seed uint64) []string {
	fmt.Printf("control: seed %d, 12 endpoints and 4 backlogged organisations for 7 routers, measured for 60 s after a warm-up of 120 s\n", seed)
	sizes := []int{3, 7, 14, 28, 112}
	rates := make([]float64, len(sizes))
	for i, routers := range sizes {
		s := sceneA(seed, routers, max(2, 12*routers/7))
		s.WarmUp, s.Length = 120*time.Second, 180*time.Second
		s.Policy = fairSharePolicy
		s.Organisations = spreadOrganisations(max(2, 4*routers/7), routers)
		r := harness.Run(s)
		_, rates[i] = r.ControlTraffic()
		fmt.Printf("%d routers, %d endpoints, %d organisations:\n", routers, len(s.Endpoints), len(s.Organisations))
		printResult("share", &r)
	}
	last := len(sizes) - 1
	for i := 1; i <= last; i++ {
		slope := (rates[i] - rates[i-1]) / float64(sizes[i]-sizes[i-1])
		fmt.Printf("slope from %d to %d routers: %.1f B/s per router for each additional router\n", sizes[i-1], sizes[i], slope)
	}
	var missed []string
	if rates[last] > b.BytesPerSecond {
		missed = append(missed, fmt.Sprintf("control traffic of %.0f B/s per router, bound %.0f", rates[last], b.BytesPerSecond))
	}
	if rates[last] > b.Growth*rates[last-1] {
		missed = append(missed, fmt.Sprintf("control traffic of %.0f B/s per router at %d routers, bound %.2f times the %.0f B/s at %d routers",
			rates[last], sizes[last], b.Growth, rates[last-1], sizes[last-1]))
	}
	return missed
}

// spreadOrganisations returns backlogged organisations that connect to up to
// three routers each. Every third organisation has a small backlog.
func spreadOrganisations(count, routers int) []harness.Organisation {
	var list []harness.Organisation
	for i := range count {
		third := (3*i + 2) % routers
		o := harness.Organisation{
			Name: fmt.Sprintf("organisation%02d", i), Weight: 1, MinCost: minCost, MaxCost: maxCost, Backlog: 60,
			Routers: []int{i % routers, (i + 1) % routers, third},
		}
		if i%3 == 2 {
			o.Backlog = 2
		}
		list = append(list, o)
	}
	return list
}
