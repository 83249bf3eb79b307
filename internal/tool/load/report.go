package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestMicros is the longest latency that the histograms tell apart.
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	// figures are the significant figures of the histograms.
	figures = 3
)

// Report counts what became of requests and of their tries.
type Report struct {
	mu sync.Mutex
	// The fields below are guarded by mu while the load runs.

	// Requests were begun; each ends in one of the following.
	Requests int
	// Answered got their own whole answer.
	Answered int
	// Wrong got an answer that looked whole and was not theirs.
	Wrong int
	// NotRun were last told that they did not run.
	NotRun int
	// Ran were last told that they ran, without getting the answer.
	Ran int
	// Unknown were last told that it is unknown, or were last cut off.
	Unknown int

	// Tries count all tries of all requests.
	Tries int
	// Cut tries broke off after the answer had begun.
	Cut int
	// Lost tries broke off before the answer had begun.
	Lost int
	// Undelivered tries found nobody at the address.
	Undelivered int
	// Refused tries were refused, by status and step.
	Refused map[string]int

	// NeverRun are the keys of requests all of whose tries were told that
	// they did not run.
	NeverRun []string
	// Latency is of answered requests with their resends, and FirstByte of
	// the try that was answered, in microseconds.
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

// NewHistogram returns an empty histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, figures) }

// PerSecond is the rate of answered requests.
func (r *Report) PerSecond() float64 { return float64(r.Answered) / r.Elapsed.Seconds() }

// Quantile is a latency of answered requests, for a percentage such as 99.
func (r *Report) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Print writes the report as lines of key=value pairs.
func (r *Report) Print(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "Load=%s Requests=%d Answered=%d Wrong=%d NotRun=%d Ran=%d Unknown=%d PerSecond=%.1f\n",
		name, r.Requests, r.Answered, r.Wrong, r.NotRun, r.Ran, r.Unknown, r.PerSecond())
	_, _ = fmt.Fprintf(w, "Load=%s Tries=%d Cut=%d Lost=%d Undelivered=%d Refused=%v\n",
		name, r.Tries, r.Cut, r.Lost, r.Undelivered, r.Refused)
	_, _ = fmt.Fprintf(w, "Load=%s Median=%v P99=%v Longest=%v FirstByteMedian=%v\n", name,
		r.Quantile(50), r.Quantile(99), r.Quantile(100),
		time.Duration(r.FirstByte.ValueAtQuantile(50))*time.Microsecond)
	if r.FirstWrong != "" {
		_, _ = fmt.Fprintf(w, "Load=%s FirstWrong=%q\n", name, r.FirstWrong)
	}
}

// ended counts a request by its last try.
func (r *Report) ended(last told, request *request, neverRun bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch last {
	case toldAnswer:
		r.Answered++
		_ = r.Latency.RecordValue(max(1, latency.Microseconds()))
	case toldWrong:
		r.Wrong++
	case toldNotRun:
		r.NotRun++
	case toldRan:
		r.Ran++
	case toldNothing:
		r.Unknown++
	}
	if neverRun && request.key != "" {
		r.NeverRun = append(r.NeverRun, request.key)
	}
}

// count changes the counters of tries.
func (r *Report) count(change func(r *Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}
