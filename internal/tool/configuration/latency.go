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
	// pollInterval is the interval between two polls of a router's revision.
	pollInterval = 500 * time.Microsecond
	// The histogram's range in microseconds, and its significant digits.
	minMicros, maxMicros, significantDigits = 1, 60_000_000, 3
)

var domains = []string{"Kharagpur", "Kolkata", "Durgapur"}

// Options holds the size of the fleet and of the measurements.
type Options struct {
	Routers int
	// Changes is the number of texts that are published sequentially, Restarts
	// the number of restarts with empty state while the log is down, and
	// ConcurrentTexts the number of texts that are published concurrently.
	Changes, Restarts, ConcurrentTexts int
	Seed                               uint64
}

// Latencies is the distribution of the times from the publication of a text, or
// from a router's start, until the text is in force on a router.
type Latencies struct{ micros *hdrhistogram.Histogram }

func newLatencies() Latencies {
	return Latencies{hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Percentile returns the given percentile of the times.
func (s Latencies) Percentile(percent float64) time.Duration {
	return time.Duration(s.micros.ValueAtQuantile(percent)) * time.Microsecond
}

func (s Latencies) record(d time.Duration) error {
	return s.micros.RecordValue(max(d.Microseconds(), minMicros))
}

// Print writes percentiles and the number of the times after the label.
func (s Latencies) Print(w io.Writer, label string) error {
	_, err := fmt.Fprintf(w, "  %s: p50 %v, p99 %v, largest %v, of %d\n", label, s.Percentile(50), s.Percentile(99), s.Percentile(100), s.micros.TotalCount())
	return err
}

// StartRouters starts the routers for the measurements.
func StartRouters(ctx context.Context, o Options) (*rig.Rig, error) {
	platform := fleet.Default()
	platform.Journal.Seed = o.Seed
	return rig.Start(ctx, rig.Options{
		Document: rig.NewDocument(16, 3, 1, domains), Routers: o.Routers, FailureDomains: domains,
		Platform: platform, EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New()},
	})
}

// MeasureChanges publishes count texts sequentially and measures the time until
// each is in force on each router.
func MeasureChanges(ctx context.Context, r *rig.Rig, count int) (Latencies, error) {
	latencies := newLatencies()
	for range count {
		next := r.Routers[0].Fleet().Revision + 1
		start := time.Now()
		if err := r.Publish(r.Document); err != nil {
			return latencies, err
		}
		if err := recordTimes(ctx, r.Routers, next, start, latencies); err != nil {
			return latencies, err
		}
	}
	return latencies, nil
}

// recordTimes records the time from start until the revision is in force on
// each router.
func recordTimes(ctx context.Context, routers []*router.Router, revision uint64, start time.Time, latencies Latencies) error {
	times := make([]time.Duration, len(routers))
	var watchers sync.WaitGroup
	for i, rt := range routers {
		watchers.Go(func() { times[i] = awaitRevision(ctx, rt, revision, start) })
	}
	watchers.Wait()
	if ctx.Err() != nil {
		return fmt.Errorf("wait for revision %d on all routers: %w", revision, ctx.Err())
	}
	for _, d := range times {
		if err := latencies.record(d); err != nil {
			return err
		}
	}
	return nil
}

func awaitRevision(ctx context.Context, rt *router.Router, revision uint64, start time.Time) time.Duration {
	for rt.Fleet().Revision < revision && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}

// MeasureRestarts takes the log down and restarts routers with empty state, one
// after the other. Each must receive the text from its peers. It measures the
// time until the text is in force again.
func MeasureRestarts(ctx context.Context, r *rig.Rig, count int) (Latencies, error) {
	latencies := newLatencies()
	r.Platform.Log.SetFaults(journal.Faults{Down: true})
	defer r.Platform.Log.SetFaults(journal.Faults{})
	for i := range count {
		index := i % len(r.Routers)
		revision := r.Routers[index].Fleet().Revision
		r.Kill(index)
		start := time.Now()
		if err := r.StartRouter(ctx, index); err != nil {
			return latencies, err
		}
		if err := recordTimes(ctx, r.Routers[index:index+1], revision, start, latencies); err != nil {
			return latencies, err
		}
	}
	return latencies, nil
}
