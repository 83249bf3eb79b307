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

// membershipBounds are the targets for heartbeats and news of members.
type membershipBounds struct {
	// BytesPerSecond bounds what any router sends for all control together;
	// membership alone must stay within it also during a restart of a third.
	BytesPerSecond float64
	// RestingShare is the part of it that membership may take at rest.
	RestingShare float64
	// GrowthPerDoubling bounds the ratio of a router's traffic at rest to
	// that in a fleet of half the size, once the fleet is no full mesh.
	GrowthPerDoubling float64
	// AgreedSeconds bounds the time until a loss is known everywhere.
	AgreedSeconds float64
}

const (
	formTime = 20 * time.Second
	restTime = 20 * time.Second
)

func membershipCommand() command {
	s := flaggy.NewSubcommand("membership")
	s.Description = "heartbeat traffic by fleet size, and how soon a loss and a restart of a third are known everywhere"
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
	resting := make(map[int]float64)
	for _, size := range sizes {
		f := membership.NewFleet(size, 8, seed)
		f.Run(formTime)
		f.ResetCounts()
		f.Run(restTime)
		rest := f.Traffic(restTime)
		resting[size] = rest.BytesPerSecond
		loss := untilAgreed(f, func() { f.Stop(f.Nodes[size/2]) })
		f.Start(f.Nodes[size/2])
		f.Run(formTime)
		f.ResetCounts()
		begin := f.Now
		third := untilAgreed(f, func() { restartThird(f) })
		storm := f.Traffic(f.Now.Sub(begin))
		fmt.Printf("  %3d routers: at rest %.1f messages/s %.0f B/s (busiest %.0f); loss known after %v; a third restarted, agreed after %v, mean %.0f B/s, busiest %.0f\n",
			size, rest.MessagesPerSecond, rest.BytesPerSecond, rest.MaxBytesPerSecond, loss, third, storm.BytesPerSecond, storm.MaxBytesPerSecond)
		if max(loss, third) > seconds(b.AgreedSeconds) {
			missed = append(missed, fmt.Sprintf("%d routers: agreed within %v s", size, b.AgreedSeconds))
		}
		if rest.MaxBytesPerSecond > b.RestingShare*b.BytesPerSecond || storm.MaxBytesPerSecond > b.BytesPerSecond {
			missed = append(missed, fmt.Sprintf("%d routers: %.0f B/s at rest, %.0f B/s at all", size, b.RestingShare*b.BytesPerSecond, b.BytesPerSecond))
		}
		if half, known := resting[size/2]; known && rest.BytesPerSecond > b.GrowthPerDoubling*half {
			missed = append(missed, fmt.Sprintf("%d routers: more than %v times the traffic at half the size", size, b.GrowthPerDoubling))
		}
	}
	return missed
}

// restartThird restarts every third router within ten seconds.
func restartThird(f *membership.Fleet) {
	pause := 10 * time.Second / time.Duration(max(len(f.Nodes)/3, 1))
	for i := 0; i < len(f.Nodes); i += 3 {
		f.Start(f.Nodes[i])
		f.Run(pause)
	}
}

// untilAgreed returns the time after the event until all routers agree.
func untilAgreed(f *membership.Fleet, event func()) time.Duration {
	const step, most = 100 * time.Millisecond, time.Minute
	event()
	begin := f.Now
	for f.Run(step); !f.Converged() && f.Now.Sub(begin) < most; f.Run(step) {
	}
	return f.Now.Sub(begin)
}
