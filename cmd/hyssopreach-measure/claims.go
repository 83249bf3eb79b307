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

// claimsBounds are the targets for non-idempotent requests.
type claimsBounds struct {
	// Requests and Rate are the load that the bounds are stated for.
	Requests int
	Rate     float64
	// AppendsPerSecond bounds what the whole fleet appends to the log.
	AppendsPerSecond float64
	KeysRunTwice     int
	PromisesBroken   int
}

const (
	longRetention  = 3 * time.Hour
	shortRetention = time.Minute
	sendsPerKey    = 5
	quietRate      = 20 // requests a second
)

func claimsCommand() command {
	s := flaggy.NewSubcommand("claims")
	s.Description = "non-idempotent requests under faults: runs per key, refusals, appends, added latency"
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
	quiet, faults, carried, none := base, base, base, base
	quiet.Requests, quiet.Rate = b.Requests/20, quietRate
	faults.Faults = true
	carried.Faults, carried.Retention = true, shortRetention
	none.Requests = 0
	var missed []string
	for _, e := range []struct {
		name    string
		options claims.Options
	}{
		{"without faults", base},
		{"without faults, at the rate of a small fleet", quiet},
		{"faults at every boundary", faults},
		{"faults at every boundary, log forgets after a minute", carried},
		{"no request that needs a claim", none},
	} {
		fmt.Println(e.name)
		r := claims.Run(e.options)
		if err := r.Print(os.Stdout); err != nil {
			return nil, fmt.Errorf("print %s: %w", e.name, err)
		}
		missed = append(missed, b.check(e.name, r)...)
	}
	resent, err := measureResends(seed, routers)
	return append(missed, resent...), err
}

// measureResends sends requests through real routers.
func measureResends(seed uint64, routers int) ([]string, error) {
	var missed []string
	for _, o := range []resend.Options{
		{Seed: seed, Routers: routers, Requests: 400, Rate: quietRate, MaxSends: 1},
		{Seed: seed, Routers: routers, Requests: 5000, Rate: 500, MaxSends: 1},
		{Seed: seed, Routers: routers, Requests: 3000, Rate: 100, MaxSends: sendsPerKey, Faults: true},
	} {
		fmt.Println("real routers on loopback")
		r, err := resend.Run(context.Background(), o)
		if err != nil {
			return nil, fmt.Errorf("send through real routers: %w", err)
		}
		if err := r.Print(os.Stdout); err != nil {
			return nil, err
		}
		if r.KeysRunTwice > 0 || len(r.Violations) > 0 {
			missed = append(missed, fmt.Sprintf("real routers: %d keys ran twice, %d promises broken", r.KeysRunTwice, len(r.Violations)))
		}
	}
	return missed, nil
}

// check returns the bounds that the report misses.
func (b *claimsBounds) check(name string, r *claims.Report) []string {
	var missed []string
	miss := func(format string, values ...any) {
		missed = append(missed, name+": "+fmt.Sprintf(format, values...))
	}
	if r.RanTwice > b.KeysRunTwice {
		miss("%d keys ran twice", r.RanTwice)
	}
	if r.ViolationCount > b.PromisesBroken {
		miss("%d promises broken", r.ViolationCount)
	}
	if r.AppendsPerSecond > b.AppendsPerSecond {
		miss("%.1f appends a second, at most %.0f wanted", r.AppendsPerSecond, b.AppendsPerSecond)
	}
	if r.Options.Requests == 0 && r.Messages > 0 {
		miss("%d messages for requests that need no claim", r.Messages)
	}
	return missed
}
