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

// configurationBounds are the targets for a change of configuration.
type configurationBounds struct {
	// InForceP99Seconds bounds the time from the append until a change is in
	// force, for 99 in 100 routers; InForceSeconds bounds it for all.
	InForceP99Seconds float64
	InForceSeconds    float64
	// EmptyRestartSeconds bounds the time from an empty start, with the log
	// down, until the text is in force.
	EmptyRestartSeconds float64
}

// configurationTimeout bounds the whole measurement.
const configurationTimeout = 5 * time.Minute

func configurationCommand() command {
	s := flaggy.NewSubcommand("configuration")
	s.Description = "changes in force on all routers, empty routers while the log is down, and operators who race"
	o := configuration.Options{Routers: 7, Changes: 100, Restarts: 14, Racers: 1000, Seed: 1}
	s.Int(&o.Routers, "r", "routers", "number of routers")
	s.Int(&o.Changes, "c", "changes", "texts published one after the other")
	s.Int(&o.Restarts, "e", "empty-restarts", "routers restarted empty while the log is down")
	s.Int(&o.Racers, "n", "racers", "texts that race")
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
		if closed := r.Close(); err == nil {
			err = closed
		}
	}()
	spread, err := configuration.MeasureChanges(ctx, r, o.Changes)
	if err != nil {
		return nil, err
	}
	if err := spread.Print(os.Stdout, "in force after the append"); err != nil {
		return nil, err
	}
	if spread.Percentile(99) > seconds(b.InForceP99Seconds) || spread.Percentile(100) > seconds(b.InForceSeconds) {
		missed = append(missed, fmt.Sprintf("in force: p99 at most %v s, all at most %v s", b.InForceP99Seconds, b.InForceSeconds))
	}
	faults, err := measureUnderFaults(ctx, r, o, b)
	return append(missed, faults...), err
}

func measureUnderFaults(ctx context.Context, r *rig.Rig, o configuration.Options, b configurationBounds) ([]string, error) {
	var missed []string
	empty, err := configuration.MeasureRestarts(ctx, r, o.Restarts)
	if err != nil {
		return nil, err
	}
	if err := empty.Print(os.Stdout, "in force after an empty start, the log down"); err != nil {
		return nil, err
	}
	if empty.Percentile(100) > seconds(b.EmptyRestartSeconds) {
		missed = append(missed, fmt.Sprintf("empty start: at most %v s", b.EmptyRestartSeconds))
	}
	race, err := configuration.PublishConcurrently(ctx, r, o)
	if err != nil {
		return missed, err
	}
	return append(missed, race.Faults()...), race.Print(os.Stdout)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
