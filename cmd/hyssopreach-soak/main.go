// Command hyssopreach-soak runs hosted routers under random faults drawn from
// a seed and checks that the system's guarantees hold meanwhile. It exits with
// 1 if a guarantee is violated, and with 2 if the run fails.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/tool/soak"
	"hyssopreach/platform/standin"
)

func main() {
	o := soak.Options{Dialect: standin.Dialect{}, Seed: 1, Duration: time.Minute, Interval: time.Second, Routers: 4, Endpoints: 4, Callers: 12}
	verbose := false
	flaggy.SetName("hyssopreach-soak")
	flaggy.SetDescription("runs hosted routers under random faults drawn from a seed and checks the system's guarantees")
	flaggy.SetVersion("1")
	flaggy.UInt64(&o.Seed, "s", "seed", "The random seed of the faults and of the callers.")
	flaggy.Duration(&o.Duration, "f", "for", "How long faults are injected.")
	flaggy.Duration(&o.Interval, "i", "interval", "The mean time between two faults.")
	flaggy.Int(&o.Routers, "r", "routers", "The number of routers.")
	flaggy.Int(&o.Endpoints, "e", "endpoints", "The number of endpoints.")
	flaggy.Int(&o.Callers, "c", "callers", "The number of callers.")
	flaggy.Int(&o.Crashing, "x", "crashing", "The number of further callers, each with one request that crashes endpoints.")
	flaggy.Int(&o.CrashingParts, "p", "crashing-parts", "The number of further callers, each with requests that share a part which crashes endpoints.")
	flaggy.String(&o.Binary, "b", "binary", "The routers' executable; built if it is not given.")
	flaggy.String(&o.Directory, "l", "logs", "The directory for settings and logs, which is retained; a temporary one if it is not given.")
	flaggy.Bool(&verbose, "v", "verbose", "Print every fault.")
	flaggy.Parse()
	if verbose {
		o.OnFault = func(line string) { fmt.Println(line) }
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	violated, err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "hyssopreach-soak:", err)
		os.Exit(2)
	}
	if violated {
		os.Exit(1)
	}
}

func run(ctx context.Context, o soak.Options) (violated bool, err error) {
	if o.Routers < 1 || o.Endpoints < 1 || o.Callers < 1 || o.Interval <= 0 {
		return false, errors.New("routers, endpoints and callers must be at least 1, and the interval between faults above 0")
	}
	temporary := o.Directory == ""
	if temporary {
		if o.Directory, err = os.MkdirTemp("", "hyssopreach-soak"); err != nil {
			return false, fmt.Errorf("create the temporary directory: %w", err)
		}
		defer func() { err = errors.Join(err, os.RemoveAll(o.Directory)) }()
	} else if err := os.MkdirAll(o.Directory, 0o700); err != nil {
		return false, fmt.Errorf("create the directory for settings and logs: %w", err)
	}
	if o.Binary == "" {
		o.Binary = filepath.Join(o.Directory, "hyssopreach")
		if output, err := exec.CommandContext(ctx, "go", "build", "-o", o.Binary, "hyssopreach/cmd/hyssopreach").CombinedOutput(); err != nil {
			return false, fmt.Errorf("build the routers' executable: %w: %s", err, output)
		}
	}
	r, err := soak.Run(ctx, o)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d runs, %d endpoints crashed by requests, %d guarantees violated\n",
		o.Seed, len(r.Faults), r.Requests, r.Runs, r.Crashes, len(r.Violations))
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Printf("  %-24s %d\n", outcome, r.Outcomes[outcome])
	}
	for _, b := range r.Violations {
		fmt.Println("broken:", b)
	}
	return len(r.Violations) > 0, nil
}
