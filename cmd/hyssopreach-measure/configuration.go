package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/configuration"
	"hyssopreach/internal/tool/rig"
)

//go:embed configuration.json
var configurationBoundsText []byte

// configurationBounds are the bounds for the distribution of configuration.
type configurationBounds struct {
	// InForceP99Seconds is the maximum 99th percentile, over all routers and
	// changes, of the time from the append to the log until the change is in
	// force on a router. InForceSeconds is the maximum of the longest time.
	InForceP99Seconds float64
	InForceSeconds    float64
	// EmptyRestartSeconds is the maximum time from the start of a router with
	// empty state, while the log is down, until the configuration is in force
	// on the router.
	EmptyRestartSeconds float64
}

// configurationTimeout limits the whole measurement.
const configurationTimeout = 5 * time.Minute

func configurationCommand() command {
	s := flaggy.NewSubcommand("configuration")
	s.Description = "time until a change is in force on all routers, restarts with empty state while the log is down, and concurrent publishers"
	o := configuration.Options{Routers: 7, Changes: 100, Restarts: 14, ConcurrentTexts: 1000, Seed: 1}
	s.Int(&o.Routers, "r", "routers", "number of routers")
	s.Int(&o.Changes, "c", "changes", "number of configurations published one after the other")
	s.Int(&o.Restarts, "e", "empty-restarts", "number of restarts with empty state while the log is down")
	s.Int(&o.ConcurrentTexts, "n", "racers", "number of configurations published concurrently")
	s.UInt64(&o.Seed, "s", "seed", "random seed")
	return command{s, func() ([]string, error) { return measureConfiguration(o) }}
}

func measureConfiguration(o configuration.Options) (missed []string, err error) {
	var b configurationBounds
	if err := json.Unmarshal(configurationBoundsText, &b); err != nil {
		return nil, fmt.Errorf("read configuration.json: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), configurationTimeout)
	defer cancel()
	fmt.Printf("configuration: seed %d, %d routers over loopback TCP\n", o.Seed, o.Routers)
	r, err := configuration.StartRouters(ctx, o)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := r.Close(); err == nil {
			err = closeErr
		}
	}()
	delays, err := configuration.MeasureChanges(ctx, r, o.Changes)
	if err != nil {
		return nil, err
	}
	if err := delays.Print(os.Stdout, "time from the append until in force"); err != nil {
		return nil, err
	}
	if delays.Percentile(99) > seconds(b.InForceP99Seconds) || delays.Percentile(100) > seconds(b.InForceSeconds) {
		missed = append(missed, fmt.Sprintf("time until a change is in force: longer than %v s at p99 or longer than %v s on a router", b.InForceP99Seconds, b.InForceSeconds))
	}
	faults, err := measureUnderFaults(ctx, r, o, b)
	return append(missed, faults...), err
}

func measureUnderFaults(ctx context.Context, r *rig.Rig, o configuration.Options, b configurationBounds) ([]string, error) {
	var missed []string
	delays, err := configuration.MeasureRestarts(ctx, r, o.Restarts)
	if err != nil {
		return nil, err
	}
	if err := delays.Print(os.Stdout, "time from a start with empty state until in force, the log down"); err != nil {
		return nil, err
	}
	if delays.Percentile(100) > seconds(b.EmptyRestartSeconds) {
		missed = append(missed, fmt.Sprintf("start with empty state: configuration in force after more than %v s", b.EmptyRestartSeconds))
	}
	race, err := configuration.PublishConcurrently(ctx, r, o)
	if err != nil {
		return missed, err
	}
	return append(missed, race.Faults()...), race.Print(os.Stdout)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
