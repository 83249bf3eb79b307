package claims

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/anishathalye/porcupine"

	coordination "hyssopreach/internal/coordination/claim"
)

// Report holds the figures of one experiment.
type Report struct {
	Options Options
	// Runs were counted at the endpoint. RanTwice is the number of keys with
	// more than one.
	Runs     int
	RanTwice int
	// Answered, NotRun and Unknown say how the requests ended for their
	// callers; UnknownRan of the unknown did run.
	Answered   int
	NotRun     int
	Unknown    int
	UnknownRan int
	Sends      int
	Messages   int
	// AppendsPerSecond is the fleet's rate while requests arrived.
	AppendsPerSecond float64
	// Violations are the promises found broken; at most a few are kept.
	Violations []string
	Broken     int
	// History is the history of claims, if it was asked for.
	History []porcupine.Operation

	appendsWhileLoaded int
	latency            *hdrhistogram.Histogram
}

const (
	keptViolations = 10
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

func newReport(o Options) *Report {
	return &Report{Options: o, latency: hdrhistogram.New(1, highestLatency, latencyDigits)}
}

// added records the time that a claim added to its request.
func (r *Report) added(d time.Duration) { _ = r.latency.RecordValue(d.Microseconds()) }

// Added returns the time, at the given percentile, that the claim added.
func (r *Report) Added(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

func (r *Report) violate(what string) {
	r.Broken++
	if len(r.Violations) < keptViolations {
		r.Violations = append(r.Violations, what)
	}
}

func (r *Report) end(q *request) {
	r.Sends += q.sends
	if q.runs > 1 {
		r.RanTwice++
	}
	switch q.told {
	case coordination.OutcomeRan:
		r.Answered++
	case coordination.OutcomeNotRun:
		r.NotRun++
	default:
		r.Unknown++
		if q.runs > 0 {
			r.UnknownRan++
		}
	}
}

// Print writes the figures, one a line.
func (r *Report) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "Seed=%d Routers=%d Requests=%d Rate=%.0f/s Faults=%t Retention=%s\n"+
		"  Sends=%d Runs=%d KeysRunTwice=%d PromisesBroken=%d\n"+
		"  Answered=%d NotRun=%d Unknown=%d (of which ran: %d)\n"+
		"  Appends/s=%.1f Messages=%d MessagesPerRequest=%.2f\n"+
		"  ClaimAddedMedian=%s ClaimAddedP99=%s\n",
		r.Options.Seed, r.Options.Routers, r.Options.Requests, r.Options.Rate, r.Options.Faults, r.Options.Retention,
		r.Sends, r.Runs, r.RanTwice, r.Broken,
		r.Answered, r.NotRun, r.Unknown, r.UnknownRan,
		r.AppendsPerSecond, r.Messages, float64(r.Messages)/float64(max(r.Options.Requests, 1)),
		r.Added(50), r.Added(99))
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(out, "  BROKEN:", v)
	}
	return err
}
