package main

import (
	"math/rand/v2"

	"github.com/integrii/flaggy"
	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/baseline"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/share"
	"hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/tool/harness"
)

// policy is a named scheduling policy to be measured.
type policy struct {
	name         string
	newScheduler harness.Policy
}

// policies returns the fair-share policy and the baselines that it is compared
// with. Under a baseline policy, each router runs at most slotsPerRouter
// requests at an endpoint: an equal part of the endpoint's slots, rounded up.
func policies(slotsPerRouter int) []policy {
	baselinePolicy := func(order baseline.Order, choice baseline.Choice) harness.Policy {
		return func(source rand.Source) schedule.Scheduler {
			return baseline.New(baseline.Options{
				Order: order, Choice: choice, Slots: slotsPerRouter, Source: source,
			})
		}
	}
	return []policy{
		{"share", fairSharePolicy},
		{"fifo", baselinePolicy(baseline.OrderArrival, baseline.ChoiceFewestRunning)},
		{"random", baselinePolicy(baseline.OrderArrival, baseline.ChoiceRandom)},
		{"router-queues", baselinePolicy(baseline.OrderStartTag, baseline.ChoiceFewestRunning)},
	}
}

func fairSharePolicy(source rand.Source) schedule.Scheduler {
	return share.New(share.Options{Source: source})
}

// seededCommand returns a subcommand that simulates scenes from a random seed.
func seededCommand(name, description string, run func(b bounds, seed uint64) []string) command {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	seed := uint64(1)
	s.UInt64(&seed, "s", "seed", "random seed")
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		return run(b, seed), nil
	}}
}

// messageSize returns the size of a scheduler's message on the wire, in bytes.
func messageSize(m schedule.Message) int { return proto.Size(peer.FromScheduleMessage(m)) }
