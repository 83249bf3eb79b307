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
	// Runs is the number of runs counted at the endpoint, RanTwice the number
	// of keys with more than one run.
	Runs     int
	RanTwice int
	// Answered, NotRun and Unknown count the requests by the outcome that
	// their callers know. UnknownRan counts the requests among Unknown that
	// did run.
	Answered   int
	NotRun     int
	Unknown    int
	UnknownRan int
	Sends      int
	Messages   int
	// AppendsPerSecond is the fleet's rate of appends to the log while
	// requests arrived.
	AppendsPerSecond float64
	// Violations describes the first violated guarantees; ViolationCount
	// counts all.
	Violations     []string
	ViolationCount int
	// History is the history of claims if Options.RecordHistory is set.
	History []porcupine.Operation

	appendsDuringLoad int
	latency           *hdrhistogram.Histogram
}

const (
	// maxViolations limits Report.Violations.
	maxViolations = 10
	// The range and the significant digits of the latency histogram.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 3
)

func newReport(o Options) *Report {
	return &Report{Options: o, latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
}

// recordAddedLatency records the latency that a claim added to its request.
func (r *Report) recordAddedLatency(d time.Duration) { _ = r.latency.RecordValue(d.Microseconds()) }

// AddedLatency returns the given percentile of the latency that claims added
// to their requests.
func (r *Report) AddedLatency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

func (r *Report) addViolation(violation string) {
	r.ViolationCount++
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, violation)
	}
}

// countRequest adds a request to the figures at the end of the experiment.
func (r *Report) countRequest(q *request) {
	r.Sends += q.sends
	if q.runs > 1 {
		r.RanTwice++
	}
	switch q.outcome {
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

// Print writes the figures and the recorded violations.
func (r *Report) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "Seed=%d Routers=%d Requests=%d Rate=%.0f/s Faults=%t Retention=%s\n"+
		"  Sends=%d Runs=%d KeysRunTwice=%d PromisesBroken=%d\n"+
		"  Answered=%d NotRun=%d Unknown=%d (of which ran: %d)\n"+
		"  Appends/s=%.1f Messages=%d MessagesPerRequest=%.2f\n"+
		"  ClaimAddedMedian=%s ClaimAddedP99=%s\n",
		r.Options.Seed, r.Options.Routers, r.Options.Requests, r.Options.Rate, r.Options.Faults, r.Options.Retention,
		r.Sends, r.Runs, r.RanTwice, r.ViolationCount,
		r.Answered, r.NotRun, r.Unknown, r.UnknownRan,
		r.AppendsPerSecond, r.Messages, float64(r.Messages)/float64(max(r.Options.Requests, 1)),
		r.AddedLatency(50), r.AddedLatency(99))
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(out, "  BROKEN:", v)
	}
	return err
}
