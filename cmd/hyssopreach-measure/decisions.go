package main

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/growth"
)

const benchmarkTimeout = 5 * time.Minute

func decisionsCommand() command {
	s := flaggy.NewSubcommand("bounds")
	s.Description = "cost of a scheduling decision at an eighth of the target size and at the target size"
	return command{s, func() ([]string, error) {
		b, err := readBounds()
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), benchmarkTimeout)
		defer cancel()
		results, err := growth.Run(ctx, "./internal/coordination/share")
		if err != nil {
			return nil, err
		}
		for _, r := range results {
			fmt.Printf("%-8s %-36s %9.0f ns %7.0f B %5.0f allocations\n", r.Name, r.Size, r.Nanoseconds, r.Bytes, r.Allocations)
		}
		return growth.ExceededBounds(results, b.Decisions.GrowthFromNTo8N), nil
	}}
}
