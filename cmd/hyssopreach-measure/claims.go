package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/claims"
	"hyssopreach/internal/tool/resend"
)

//go:embed claims.json
var claimsBoundsText []byte

// claimsBounds are the bounds for non-idempotent requests.
type claimsBounds struct {
	// Requests is the number of requests of the load for which the bounds are
	// stated, and Rate the number that start each second.
	Requests int
	Rate     float64
	// AppendsPerSecond is the maximum rate of appends to the log by the whole
	// fleet.
	AppendsPerSecond float64
	// KeysRunTwice is the maximum number of keys that run more than once.
	KeysRunTwice int
	// PromisesBroken is the maximum number of violated guarantees.
	PromisesBroken int
}

const (
	longRetention  = 3 * time.Hour // of records in the log
	shortRetention = time.Minute
	sendsPerKey    = 5  // at most
	lowRate        = 20 // requests a second
)

func claimsCommand() command {
	s := flaggy.NewSubcommand("claims")
	s.Description = "non-idempotent requests under faults: runs per key, refusals, log appends, added latency"
	seed, routers := uint64(1), 7
	s.UInt64(&seed, "s", "seed", "random seed")
	s.Int(&routers, "r", "routers", "number of routers")
	return command{s, func() ([]string, error) { return measureClaims(seed, routers) }}
}

func measureClaims(seed uint64, routers int) ([]string, error) {
	var b claimsBounds
	if err := json.Unmarshal(claimsBoundsText, &b); err != nil {
		return nil, fmt.Errorf("read claims.json: %w", err)
	}
	base := claims.Options{
		Seed: seed, Routers: routers, Requests: b.Requests, Rate: b.Rate,
		MaxSends: sendsPerKey, Retention: longRetention,
	}
	lowLoad, withFaults, shortRetained, noClaims := base, base, base, base
	lowLoad.Requests, lowLoad.Rate = b.Requests/20, lowRate
	withFaults.Faults = true
	shortRetained.Faults, shortRetained.Retention = true, shortRetention
	noClaims.Requests = 0
	var missed []string
	for _, experiment := range []struct {
		name    string
		options claims.Options
	}{
		{"without faults", base},
		{"without faults, at the rate of a small fleet", lowLoad},
		{"with faults of routers, network, log and callers", withFaults},
		{"with faults of routers, network, log and callers, the log retains records for one minute", shortRetained},
		{"no requests that need a claim", noClaims},
	} {
		fmt.Println(experiment.name)
		r := claims.Run(experiment.options)
		if err := r.Print(os.Stdout); err != nil {
			return nil, fmt.Errorf("print %s: %w", experiment.name, err)
		}
		missed = append(missed, b.check(experiment.name, r)...)
	}
	resendMissed, err := measureResends(seed, routers)
	return append(missed, resendMissed...), err
}

// measureResends sends requests through real routers on loopback and returns
// the missed bounds.
func measureResends(seed uint64, routers int) ([]string, error) {
	var missed []string
	for _, o := range []resend.Options{
		{Seed: seed, Routers: routers, Requests: 400, Rate: lowRate, MaxSends: 1},
		{Seed: seed, Routers: routers, Requests: 5000, Rate: 500, MaxSends: 1},
		{Seed: seed, Routers: routers, Requests: 3000, Rate: 100, MaxSends: sendsPerKey, Faults: true},
	} {
		fmt.Println("real routers on loopback")
		r, err := resend.Run(context.Background(), o)
		if err != nil {
			return nil, fmt.Errorf("send requests through real routers: %w", err)
		}
		if err := r.Print(os.Stdout); err != nil {
			return nil, err
		}
		if r.KeysRunTwice > 0 || len(r.Violations) > 0 {
			missed = append(missed, fmt.Sprintf("real routers: %d keys ran more than once, %d guarantees violated", r.KeysRunTwice, len(r.Violations)))
		}
	}
	return missed, nil
}

// check returns a description of each bound that the report misses.
func (b *claimsBounds) check(name string, r *claims.Report) []string {
	var missed []string
	addMissed := func(format string, values ...any) {
		missed = append(missed, name+": "+fmt.Sprintf(format, values...))
	}
	if r.RanTwice > b.KeysRunTwice {
		addMissed("%d keys ran more than once", r.RanTwice)
	}
	if r.ViolationCount > b.PromisesBroken {
		addMissed("%d guarantees violated", r.ViolationCount)
	}
	if r.AppendsPerSecond > b.AppendsPerSecond {
		addMissed("%.1f log appends per second, bound %.0f", r.AppendsPerSecond, b.AppendsPerSecond)
	}
	if r.Options.Requests == 0 && r.Messages > 0 {
		addMissed("%d claim messages although no request needs a claim", r.Messages)
	}
	return missed
}
