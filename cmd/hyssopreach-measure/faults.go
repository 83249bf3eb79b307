package main

import (
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/harness"
)

const (
	faultAt  = 200 * time.Second
	healAt   = 220 * time.Second
	faultEnd = 400 * time.Second
	// faultSeen is the time until the views of the fleet follow a fault.
	faultSeen = 1500 * time.Millisecond
	// backWithin is the time after a fault's end from which the gap must hold
	// its bound again.
	backWithin = 2 * time.Second
)

// faultBounds hold in scene C.
type faultBounds struct {
	// Utilisation is the least busy share of slot-time while work waits.
	Utilisation float64
	// Seeds is the number of seeds that are played.
	Seeds int
}

// faultCase is one fault of scene C and its end.
type faultCase struct {
	name   string
	faults []harness.Fault
	healed time.Duration
}

func faultCases() []faultCase {
	return []faultCase{
		{"domain cut for 20 s", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Cut(1, true, faultSeen) }},
			{At: healAt, Do: func(f *harness.Fleet) { f.Cut(1, false, faultSeen) }},
		}, healAt},
		{"router killed", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Kill(3, faultSeen) }},
		}, faultAt + faultSeen},
		{"a third restarted", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Kill(2, faultSeen); f.Kill(5, faultSeen) }},
			{At: faultAt + 3*time.Second, Do: func(f *harness.Fleet) { f.Start(2); f.Start(5) }},
		}, faultAt + 3*time.Second},
		{"endpoint draining", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Drain(4) }},
		}, faultAt},
	}
}

func faultsCommand() command {
	s := flaggy.NewSubcommand("faults")
	s.Description = "gap and utilisation through faults, scene C"
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		var missed []string
		for seed := uint64(1); seed <= uint64(b.Faults.Seeds); seed++ {
			for _, c := range faultCases() {
				missed = append(missed, playFault(b.Faults, seed, c)...)
			}
		}
		return missed, nil
	}}
}

// playFault plays one fault and returns the missed bounds.
func playFault(b faultBounds, seed uint64, c faultCase) []string {
	s := sceneA(seed, 7, 12)
	s.Policy = shared
	s.Length = faultEnd
	s.Faults = append(s.Faults, c.faults...)
	var before, during float64
	s.Faults = append(
		s.Faults,
		harness.Fault{At: faultAt - time.Millisecond, Do: func(f *harness.Fleet) { before = f.TakeGap() }},
		harness.Fault{At: c.healed + backWithin, Do: func(f *harness.Fleet) { during = f.TakeGap() }},
	)
	r := harness.Run(s)
	bound := 2 * max(r.LargestCost, r.InFlight)
	fmt.Printf("scene C: seed %d, %-20s gap before %.0f, through the fault %.0f, after %.0f (bound %.0f, %.2f largest costs), utilisation %.4f, refused %d\n",
		seed, c.name, before, during, r.Gap, bound, r.Gap/r.LargestCost, r.Utilisation, r.Refusals)
	var missed []string
	if r.Gap > bound {
		missed = append(missed, fmt.Sprintf("%s: gap %.0f over %.0f", c.name, r.Gap, bound))
	}
	if r.Utilisation < b.Utilisation {
		missed = append(missed, fmt.Sprintf("%s: utilisation %.4f under %.4f", c.name, r.Utilisation, b.Utilisation))
	}
	return append(missed, broken(&r)...)
}
