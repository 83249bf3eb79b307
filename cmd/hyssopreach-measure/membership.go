package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/membership"
)

//go:embed membership.json
var membershipBoundsText []byte

// membershipBounds are the bounds for heartbeats and membership updates.
type membershipBounds struct {
	// BytesPerSecond is the maximum rate at which any router may send control
	// messages of all kinds. Membership alone must stay within it even while
	// a third of the fleet restarts.
	BytesPerSecond float64
	// RestingShare is the maximum share of BytesPerSecond that membership may
	// use in steady state.
	RestingShare float64
	// GrowthPerDoubling is the maximum ratio of a router's traffic in steady
	// state to that in a fleet of half the size, for fleets that are too large
	// for a full mesh.
	GrowthPerDoubling float64
	// AgreedSeconds is the maximum time until all routers agree on the
	// membership after the loss of a router or the restart of a third.
	AgreedSeconds float64
}

const (
	// formationTime is how long a fleet runs to form before a measurement.
	formationTime = 20 * time.Second
	// steadyTime is the length of the measurement in steady state.
	steadyTime = 20 * time.Second
)

func membershipCommand() command {
	s := flaggy.NewSubcommand("membership")
	s.Description = "heartbeat traffic by fleet size, and the time until all routers know of the loss of a router and of the restart of a third of the fleet"
	seed := uint64(1)
	var sizes []int
	s.UInt64(&seed, "s", "seed", "random seed")
	s.IntSlice(&sizes, "r", "routers", "number of routers; may be repeated")
	return command{s, func() ([]string, error) {
		var b membershipBounds
		if err := json.Unmarshal(membershipBoundsText, &b); err != nil {
			return nil, fmt.Errorf("read membership.json: %w", err)
		}
		if len(sizes) == 0 {
			sizes = []int{7, 45, 90, 180, 360}
		}
		return measureMembership(b, seed, sizes), nil
	}}
}

func measureMembership(b membershipBounds, seed uint64, sizes []int) []string {
	fmt.Printf("membership in virtual time: seed %d, 8 failure domains\n", seed)
	var missed []string
	steadyRates := make(map[int]float64)
	for _, size := range sizes {
		f := membership.NewFleet(size, 8, seed)
		f.Run(formationTime)
		f.ResetCounts()
		f.Run(steadyTime)
		steady := f.Traffic(steadyTime)
		steadyRates[size] = steady.BytesPerSecond
		lossAgreed := timeToAgreement(f, func() { f.Stop(f.Nodes[size/2]) })
		f.Start(f.Nodes[size/2])
		f.Run(formationTime)
		f.ResetCounts()
		begin := f.Now
		restartAgreed := timeToAgreement(f, func() { restartThird(f) })
		restart := f.Traffic(f.Now.Sub(begin))
		fmt.Printf("  %3d routers: steady state %.1f messages/s %.0f B/s (busiest %.0f); loss agreed after %v; restart of a third agreed after %v, mean %.0f B/s, busiest %.0f\n",
			size, steady.MessagesPerSecond, steady.BytesPerSecond, steady.MaxBytesPerSecond, lossAgreed, restartAgreed, restart.BytesPerSecond, restart.MaxBytesPerSecond)
		if max(lossAgreed, restartAgreed) > seconds(b.AgreedSeconds) {
			missed = append(missed, fmt.Sprintf("%d routers: agreement took longer than %v s", size, b.AgreedSeconds))
		}
		if steady.MaxBytesPerSecond > b.RestingShare*b.BytesPerSecond || restart.MaxBytesPerSecond > b.BytesPerSecond {
			missed = append(missed, fmt.Sprintf("%d routers: a router sent more than %.0f B/s in steady state or more than %.0f B/s during the restart", size, b.RestingShare*b.BytesPerSecond, b.BytesPerSecond))
		}
		if halfSizeRate, measured := steadyRates[size/2]; measured && steady.BytesPerSecond > b.GrowthPerDoubling*halfSizeRate {
			missed = append(missed, fmt.Sprintf("%d routers: traffic in steady state exceeds %v times that at half the size", size, b.GrowthPerDoubling))
		}
	}
	return missed
}

// restartThird restarts every third router within ten seconds.
func restartThird(f *membership.Fleet) {
	interval := 10 * time.Second / time.Duration(max(len(f.Nodes)/3, 1))
	for i := 0; i < len(f.Nodes); i += 3 {
		f.Start(f.Nodes[i])
		f.Run(interval)
	}
}

// timeToAgreement returns the time from the end of the event until all routers
// agree on the membership, at most a minute.
func timeToAgreement(f *membership.Fleet, event func()) time.Duration {
	const step, limit = 100 * time.Millisecond, time.Minute
	event()
	begin := f.Now
	for f.Run(step); !f.Converged() && f.Now.Sub(begin) < limit; f.Run(step) {
	}
	return f.Now.Sub(begin)
}
