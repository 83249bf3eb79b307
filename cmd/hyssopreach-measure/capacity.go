package main

import (
	"os"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/capacity"
)

func capacityCommand() command {
	s := flaggy.NewSubcommand("capacity")
	s.Description = "cost of one router's control work at growing fleet sizes, extrapolated to the target size"
	seed := uint64(1)
	s.UInt64(&seed, "s", "seed", "random seed")
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		return capacity.Run(os.Stdout, seed, b.Capacity), nil
	}}
}
