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

// policy is a scheduler under measurement.
type policy struct {
	name string
	make harness.Policy
}

// policies are the fair share and its baselines; each baseline router assumes
// an equal part of every endpoint's slots, rounded up.
func policies(slotsPerRouter int) []policy {
	based := func(order baseline.Order, choice baseline.Choice) harness.Policy {
		return func(source rand.Source) schedule.Scheduler {
			return baseline.New(baseline.Options{
				Order: order, Choice: choice, Slots: slotsPerRouter, Source: source,
			})
		}
	}
	return []policy{
		{"share", shared},
		{"fifo", based(baseline.OrderArrival, baseline.ChoiceFewestRunning)},
		{"random", based(baseline.OrderArrival, baseline.ChoiceRandom)},
		{"router-queues", based(baseline.OrderStartTag, baseline.ChoiceFewestRunning)},
	}
}

func shared(source rand.Source) schedule.Scheduler {
	return share.New(share.Options{Source: source})
}

// seededCommand is a subcommand that plays scenes from a random seed.
func seededCommand(name, description string, play func(b bounds, seed uint64) []string) command {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	seed := uint64(1)
	s.UInt64(&seed, "s", "seed", "random seed")
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		return play(b, seed), nil
	}}
}

// size is the bytes of a scheduler's message on the wire.
func size(m schedule.Message) int { return proto.Size(peer.FromScheduleMessage(m)) }
