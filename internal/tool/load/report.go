package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the largest latency of the histograms, in microseconds.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// significantFigures is the precision of the histograms.
	significantFigures = 3
)

// Report counts the outcomes of requests and of their tries.
type Report struct {
	mu sync.Mutex
	// The fields below are guarded by mu while the load runs.

	// Requests is the number of requests that were started. Each of them is
	// counted in one of the next five fields when it ends.
	Requests int
	// Answered is the number of requests that got their complete answer.
	Answered int
	// Wrong is the number of requests that got an answer that looked complete
	// but was not the expected one.
	Wrong int
	// NotRun is the number of requests whose last try was reported as not run:
	// refused as such, or not connected.
	NotRun int
	// Ran is the number of requests whose last try was refused with the
	// information that the request ran.
	Ran int
	// Unknown is the number of requests whose last try left open whether the
	// request ran, or was cut off.
	Unknown int

	// Tries is the number of tries of all requests.
	Tries int
	// Cut is the number of tries that were cut off after the start of the
	// answer.
	Cut int
	// Lost is the number of tries that were cut off before the start of the
	// answer.
	Lost int
	// Undelivered is the number of tries for which no connection could be
	// opened.
	Undelivered int
	// Refused is the number of refused tries by status and step.
	Refused map[string]int

	// NeverRun holds the idempotency keys of the requests all of whose tries
	// were reported as not run.
	NeverRun []string
	// Latency is the latency of answered requests including their resends, and
	// FirstByte that of the response header of the answered try, both in
	// microseconds.
	Latency   *hdrhistogram.Histogram
	FirstByte *hdrhistogram.Histogram
	Elapsed   time.Duration
	// FirstWrong describes the first wrong answer.
	FirstWrong string
}

func newReport() *Report {
	return &Report{
		Refused:   make(map[string]int),
		Latency:   NewHistogram(),
		FirstByte: NewHistogram(),
	}
}

// NewHistogram returns an empty histogram for latencies in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantFigures)
}

// PerSecond returns the number of answered requests per second.
func (r *Report) PerSecond() float64 { return float64(r.Answered) / r.Elapsed.Seconds() }

// Percentile returns the latency that the given percentage of the answered
// requests does not exceed, such as 99.
func (r *Report) Percentile(percent float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Print writes the report as lines of key=value pairs.
func (r *Report) Print(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "Load=%s Requests=%d Answered=%d Wrong=%d NotRun=%d Ran=%d Unknown=%d PerSecond=%.1f\n",
		name, r.Requests, r.Answered, r.Wrong, r.NotRun, r.Ran, r.Unknown, r.PerSecond())
	_, _ = fmt.Fprintf(w, "Load=%s Tries=%d Cut=%d Lost=%d Undelivered=%d Refused=%v\n",
		name, r.Tries, r.Cut, r.Lost, r.Undelivered, r.Refused)
	_, _ = fmt.Fprintf(w, "Load=%s Median=%v P99=%v Longest=%v FirstByteMedian=%v\n", name,
		r.Percentile(50), r.Percentile(99), r.Percentile(100),
		time.Duration(r.FirstByte.ValueAtQuantile(50))*time.Microsecond)
	if r.FirstWrong != "" {
		_, _ = fmt.Fprintf(w, "Load=%s FirstWrong=%q\n", name, r.FirstWrong)
	}
}

// countEnd counts a request that has ended by the outcome of its last try.
func (r *Report) countEnd(lastOutcome outcome, request *request, neverRun bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch lastOutcome {
	case outcomeAnswered:
		r.Answered++
		_ = r.Latency.RecordValue(max(1, latency.Microseconds()))
	case outcomeWrongAnswer:
		r.Wrong++
	case outcomeNotRun:
		r.NotRun++
	case outcomeRan:
		r.Ran++
	case outcomeUnknown:
		r.Unknown++
	}
	if neverRun && request.key != "" {
		r.NeverRun = append(r.NeverRun, request.key)
	}
}

// update applies a change to the report while holding mu.
func (r *Report) update(change func(r *Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}
