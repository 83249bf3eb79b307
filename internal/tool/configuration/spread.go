package configuration

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/router"
)

const (
	// lookInterval is the time between two looks at a router's revision.
	lookInterval = 500 * time.Microsecond
	// The histogram's range, in microseconds, and its digits.
	leastMicros, mostMicros, digits = 1, 60_000_000, 3
)

var domains = []string{"Kharagpur", "Kolkata", "Durgapur"}

// Options say what to measure.
type Options struct {
	Routers int
	// Changes is the number of texts published one after the other, Restarts
	// that of routers restarted empty while the log is down, and Racers that
	// of texts that race.
	Changes, Restarts, Racers int
	Seed                      uint64
}

// Spread holds times from the append, or from a router's start, until a text
// is in force on a router.
type Spread struct{ micros *hdrhistogram.Histogram }

func newSpread() Spread { return Spread{hdrhistogram.New(leastMicros, mostMicros, digits)} }

// At returns the time within which the given percentage of the routers had
// the text in force.
func (s Spread) At(percent float64) time.Duration {
	return time.Duration(s.micros.ValueAtQuantile(percent)) * time.Microsecond
}

func (s Spread) record(d time.Duration) error {
	return s.micros.RecordValue(max(d.Microseconds(), leastMicros))
}

// Print writes the percentiles.
func (s Spread) Print(w io.Writer, what string) error {
	_, err := fmt.Fprintf(w, "  %s: p50 %v, p99 %v, largest %v, of %d\n", what, s.At(50), s.At(99), s.At(100), s.micros.TotalCount())
	return err
}

// Start starts the routers that are measured.
func Start(ctx context.Context, o Options) (*rig.Rig, error) {
	platform := fleet.Default()
	platform.Journal.Seed = o.Seed
	return rig.Start(ctx, rig.Options{
		Document: rig.Document(16, 3, 1, domains), Routers: o.Routers, FailureDomains: domains,
		Platform: platform, EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New()},
	})
}

// Changes publishes one text after the other and measures when each is in
// force on each router.
func Changes(ctx context.Context, r *rig.Rig, count int) (Spread, error) {
	spread := newSpread()
	for range count {
		next := r.Routers[0].Fleet().Revision + 1
		begin := time.Now()
		if err := r.Publish(r.Document); err != nil {
			return spread, err
		}
		if err := watch(ctx, r.Routers, next, begin, spread); err != nil {
			return spread, err
		}
	}
	return spread, nil
}

// watch records when each router has the revision in force.
func watch(ctx context.Context, routers []*router.Router, revision uint64, begin time.Time, spread Spread) error {
	times := make([]time.Duration, len(routers))
	var watching sync.WaitGroup
	for i, one := range routers {
		watching.Go(func() { times[i] = await(ctx, one, revision, begin) })
	}
	watching.Wait()
	if ctx.Err() != nil {
		return fmt.Errorf("wait for revision %d on all routers: %w", revision, ctx.Err())
	}
	for _, d := range times {
		if err := spread.record(d); err != nil {
			return err
		}
	}
	return nil
}

func await(ctx context.Context, one *router.Router, revision uint64, begin time.Time) time.Duration {
	for one.Fleet().Revision < revision && ctx.Err() == nil {
		time.Sleep(lookInterval)
	}
	return time.Since(begin)
}

// Restarts takes the log down and restarts routers with empty state, one
// after the other; each must learn the text from its peers.
func Restarts(ctx context.Context, r *rig.Rig, count int) (Spread, error) {
	spread := newSpread()
	r.Platform.Log.SetFaults(journal.Faults{Down: true})
	defer r.Platform.Log.SetFaults(journal.Faults{})
	for i := range count {
		number := i % len(r.Routers)
		revision := r.Routers[number].Fleet().Revision
		r.Kill(number)
		begin := time.Now()
		if err := r.StartRouter(ctx, number); err != nil {
			return spread, err
		}
		if err := watch(ctx, r.Routers[number:number+1], revision, begin, spread); err != nil {
			return spread, err
		}
	}
	return spread, nil
}
