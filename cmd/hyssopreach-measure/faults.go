package main

import (
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/harness"
)

const (
	faultAt          = 200 * time.Second
	repairAt         = 220 * time.Second
	faultSceneLength = 400 * time.Second
	// faultDetectionDelay is the time from a fault until the routers' views of
	// the fleet show it.
	faultDetectionDelay = 1500 * time.Millisecond
	// recoveryTime is the time after the end of a fault within which the
	// fairness gap must return below its bound.
	recoveryTime = 2 * time.Second
)

// faultBounds are the bounds for scene C.
type faultBounds struct {
	// Utilisation is the minimum busy share of slot-time while requests wait.
	Utilisation float64
	// Seeds is the number of seeds that are simulated.
	Seeds int
}

// faultCase is one fault of scene C, and the time at which it has ended.
type faultCase struct {
	name     string
	faults   []harness.Fault
	repaired time.Duration
}

func faultCases() []faultCase {
	return []faultCase{
		{"domain cut for 20 s", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Cut(1, true, faultDetectionDelay) }},
			{At: repairAt, Do: func(f *harness.Fleet) { f.Cut(1, false, faultDetectionDelay) }},
		}, repairAt},
		{"router killed", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Kill(3, faultDetectionDelay) }},
		}, faultAt + faultDetectionDelay},
		{"a third restarted", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Kill(2, faultDetectionDelay); f.Kill(5, faultDetectionDelay) }},
			{At: faultAt + 3*time.Second, Do: func(f *harness.Fleet) { f.Start(2); f.Start(5) }},
		}, faultAt + 3*time.Second},
		{"endpoint draining", []harness.Fault{
			{At: faultAt, Do: func(f *harness.Fleet) { f.Drain(4) }},
		}, faultAt},
	}
}

func faultsCommand() command {
	s := flaggy.NewSubcommand("faults")
	s.Description = "fairness gap and utilisation during and after faults, scene C"
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		var missed []string
		for seed := uint64(1); seed <= uint64(b.Faults.Seeds); seed++ {
			for _, c := range faultCases() {
				missed = append(missed, runFault(b.Faults, seed, c)...)
			}
		}
		return missed, nil
	}}
}

// runFault simulates one fault and returns the missed bounds.
func runFault(b faultBounds, seed uint64, c faultCase) []string {
	s := sceneA(seed, 7, 12)
	s.Policy = fairSharePolicy
	s.Length = faultSceneLength
	s.Faults = append(s.Faults, c.faults...)
	var gapBefore, gapDuring float64
	s.Faults = append(
		s.Faults,
		harness.Fault{At: faultAt - time.Millisecond, Do: func(f *harness.Fleet) { gapBefore = f.TakeGap() }},
		harness.Fault{At: c.repaired + recoveryTime, Do: func(f *harness.Fleet) { gapDuring = f.TakeGap() }},
	)
	r := harness.Run(s)
	bound := 2 * max(r.LargestCost, r.InFlight)
	fmt.Printf("scene C: seed %d, %-20s gap before the fault %.0f, during %.0f, after %.0f (bound %.0f, %.2f largest costs), utilisation %.4f, refused %d\n",
		seed, c.name, gapBefore, gapDuring, r.Gap, bound, r.Gap/r.LargestCost, r.Utilisation, r.Refusals)
	var missed []string
	if r.Gap > bound {
		missed = append(missed, fmt.Sprintf("%s: gap %.0f exceeds %.0f", c.name, r.Gap, bound))
	}
	if r.Utilisation < b.Utilisation {
		missed = append(missed, fmt.Sprintf("%s: utilisation %.4f is below %.4f", c.name, r.Utilisation, b.Utilisation))
	}
	return append(missed, violations(&r)...)
}
