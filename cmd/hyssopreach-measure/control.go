package main

import (
	"fmt"
	"time"

	"hyssopreach/internal/tool/harness"
)

// controlBounds hold for the control traffic of scheduling.
type controlBounds struct {
	// BytesPerSecond bounds what a router sends at the target's size.
	BytesPerSecond float64
	// Growth bounds the bytes a second and router at 112 routers against those
	// at 28, with load in proportion: it is the ratio of the logarithms.
	Growth float64
}

func controlCommand() command {
	return seededCommand("control", "control traffic of scheduling at 3 to 112 routers",
		func(b bounds, seed uint64) []string { return control(b.Control, seed) })
}

// control plays fleets of growing size, in which endpoints and organisations
// grow with the routers as in the target (610 endpoints and 98 backlogged
// organisations for 360 routers).
func control(b controlBounds, seed uint64) []string {
	fmt.Printf("control: seed %d, 12 endpoints and 4 backlogged organisations for 7 routers, 60 s after 120 s\n", seed)
	sizes := []int{3, 7, 14, 28, 112}
	rates := make([]float64, len(sizes))
	for i, routers := range sizes {
		s := sceneA(seed, routers, max(2, 12*routers/7))
		s.WarmUp, s.Length = 120*time.Second, 180*time.Second
		s.Policy = shared
		s.Organisations = spreadOrganisations(max(2, 4*routers/7), routers)
		r := harness.Run(s)
		_, rates[i] = r.ControlTraffic()
		fmt.Printf("%d routers, %d endpoints, %d organisations:\n", routers, len(s.Endpoints), len(s.Organisations))
		printResult("share", &r)
	}
	last := len(sizes) - 1
	for i := 1; i <= last; i++ {
		slope := (rates[i] - rates[i-1]) / float64(sizes[i]-sizes[i-1])
		fmt.Printf("slope from %d to %d routers: %.1f B/s a router for each further router\n", sizes[i-1], sizes[i], slope)
	}
	var missed []string
	if rates[last] > b.BytesPerSecond {
		missed = append(missed, fmt.Sprintf("%.0f B/s a router over %.0f", rates[last], b.BytesPerSecond))
	}
	if rates[last] > b.Growth*rates[last-1] {
		missed = append(missed, fmt.Sprintf("%.0f B/s a router at %d over %.2f times the %.0f at %d",
			rates[last], sizes[last], b.Growth, rates[last-1], sizes[last-1]))
	}
	return missed
}

// spreadOrganisations are backlogged organisations that connect to up to three
// routers each, every third of them thin.
func spreadOrganisations(count, routers int) []harness.Organisation {
	var list []harness.Organisation
	for i := range count {
		third := (3*i + 2) % routers
		o := harness.Organisation{
			Name: fmt.Sprintf("organisation%02d", i), Weight: 1, MinCost: leastCost, MaxCost: mostCost, Backlog: 60,
			Routers: []int{i % routers, (i + 1) % routers, third},
		}
		if i%3 == 2 {
			o.Backlog = 2
		}
		list = append(list, o)
	}
	return list
}
