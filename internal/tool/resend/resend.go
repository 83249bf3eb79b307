package resend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sync/errgroup"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/tool/rig"
)

// Options configures one measurement.
type Options struct {
	Seed     uint64
	Routers  int
	Requests int
	// Rate is the number of new requests per second.
	Rate float64
	// MaxSends is how many times one request is sent at most.
	MaxSends int
	Faults   bool
}

const (
	sendTimeout      = 3 * time.Second
	clientTimeout    = 4 * time.Second
	maxResendPause   = 300 * time.Millisecond
	faultPause       = 700 * time.Millisecond
	restartPause     = 300 * time.Millisecond
	readyTimeout     = time.Minute
	organisation     = "org-01"
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// Report holds the results of one measurement.
type Report struct {
	Options Options
	// Sends counts the sends of all requests. Answered, NotRun, Ran and Unknown
	// count the requests by what their callers learnt in the end.
	Sends    int
	Answered int
	NotRun   int
	Ran      int
	Unknown  int
	// Runs is the number of runs counted at the endpoints, and KeysRunTwice the
	// number of keys with more than one run.
	Runs         int
	KeysRunTwice int
	// Violations describes the answers and refusals that contradict the runs, and
	// the keys that ran more than once.
	Violations []string
	// Restarts and LogFaults count the restarts of routers and the changes of the
	// log's faults.
	Restarts  int
	LogFaults int

	latency *hdrhistogram.Histogram
}

// Latency returns a percentile of the latency of requests that were answered at
// their first send.
func (r *Report) Latency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// measurement is the state of one measurement.
type measurement struct {
	options Options
	rig     *rig.Rig
	routers []netip.AddrPort
	client  *http.Client

	mu     sync.Mutex
	report *Report    // guarded by mu
	random *rand.Rand // guarded by mu
}

// Run starts the routers and stand-ins, sends the requests and returns the
// report.
func Run(ctx context.Context, o Options) (*Report, error) {
	domains := []string{"Kharagpur", "Kolkata", "Durgapur"}
	startCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	installation, err := rig.Start(startCtx, rig.Options{
		Document: rig.NewDocument(1, 1, 2, domains), Routers: o.Routers, FailureDomains: domains,
		Platform: fleet.Default(), EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		return nil, fmt.Errorf("start the installation: %w", err)
	}
	r := &measurement{
		options: o, rig: installation,
		client: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.Requests}},
		report: &Report{Options: o, latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)},
		random: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	for _, one := range installation.Routers {
		r.routers = append(r.routers, one.CallerAddress())
	}
	err = r.execute(ctx)
	r.client.CloseIdleConnections()
	return r.report, errors.Join(err, installation.Close())
}

func (r *measurement) execute(ctx context.Context) error {
	faultCtx, stop := context.WithCancel(ctx)
	faultErrs := make(chan error, 1)
	go func() { faultErrs <- r.injectFaults(faultCtx) }()
	requests, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.options.Rate))
	defer ticker.Stop()
	for i := range r.options.Requests {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		requests.Go(func() error { return r.sendRequest(ctx, fmt.Sprintf("key-%d-%d", r.options.Seed, i)) })
	}
	err := requests.Wait()
	stop()
	err = errors.Join(err, <-faultErrs)
	r.countRuns()
	return err
}

// countRuns adds the runs that the endpoints counted to the report.
func (r *measurement) countRuns() {
	for key, n := range r.runsByKey() {
		r.report.Runs += n
		if n > 1 {
			r.report.KeysRunTwice++
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
}

func (r *measurement) runsByKey() map[string]int {
	counts := map[string]int{}
	for _, s := range r.rig.Platform.Services {
		for key, n := range s.Runs().ByKey {
			counts[key] += n
		}
	}
	return counts
}

// injectFaults makes the log fail and kills and restarts routers until the
// context ends.
func (r *measurement) injectFaults(ctx context.Context) error {
	defer r.rig.Platform.Log.SetFaults(journal.Faults{})
	for r.options.Faults {
		timer := time.NewTimer(faultPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if r.draw(3) > 0 {
			r.rig.Platform.Log.SetFaults(r.logFaults())
			continue
		}
		i := r.draw(len(r.routers))
		r.rig.Kill(i)
		time.Sleep(restartPause)
		if err := r.rig.StartRouter(context.WithoutCancel(ctx), i); err != nil {
			return fmt.Errorf("restart router %d: %w", i, err)
		}
		r.mu.Lock()
		r.report.Restarts++
		r.mu.Unlock()
	}
	return nil
}

// logFaults draws the next faults of the log. One draw in five ends the present
// faults.
func (r *measurement) logFaults() journal.Faults {
	r.mu.Lock()
	r.report.LogFaults++
	r.mu.Unlock()
	switch r.draw(5) {
	case 0:
		return journal.Faults{Down: true}
	case 1:
		return journal.Faults{DelayMillis: 300}
	case 2:
		return journal.Faults{LoseProbability: 0.5}
	case 3:
		return journal.Faults{LateAppends: 3, LateMillis: 1000 + r.draw(4000)}
	default:
		return journal.Faults{}
	}
}

func (r *measurement) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// sendRequest sends one request until it is answered or has been sent as often as
// the options allow. Under faults, some callers resend an answered request.
func (r *measurement) sendRequest(ctx context.Context, key string) error {
	notRun := caller.NotRunUnknown
	answered := false
	for send := range r.options.MaxSends {
		began := time.Now()
		status, body, err := r.send(ctx, key, send == 0)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.mu.Lock()
		r.report.Sends++
		r.mu.Unlock()
		switch {
		case err != nil:
			// The caller doesn't learn whether the request ran.
		case status == http.StatusOK:
			answered = true
			if send == 0 {
				r.mu.Lock()
				_ = r.report.latency.RecordValue(time.Since(began).Microseconds())
				r.mu.Unlock()
			}
			r.check(key, strings.Contains(body, key), "got the answer of another request")
		default:
			notRun = r.checkRefusal(key, body)
		}
		if answered && (!r.options.Faults || r.draw(10) > 0) {
			break
		}
		time.Sleep(time.Duration(r.draw(int(maxResendPause))))
	}
	r.recordOutcome(key, notRun, answered)
	return nil
}

// checkRefusal checks a refusal against the runs so far.
func (r *measurement) checkRefusal(key, body string) caller.NotRun {
	var p caller.Problem
	if err := json.Unmarshal([]byte(body), &p); err != nil {
		r.check(key, false, "refusal is not a problem document")
		return caller.NotRunUnknown
	}
	runs := r.runsByKey()[key]
	r.check(key, p.NotRun != caller.NotRunTrue || runs == 0, "refused with NotRun true after a run")
	r.check(key, p.NotRun != caller.NotRunFalse || runs > 0, "refused with NotRun false without a run")
	return p.NotRun
}

func (r *measurement) check(key string, holds bool, detail string) {
	if !holds {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Violations = append(r.report.Violations, key+": "+detail)
	}
}

func (r *measurement) recordOutcome(key string, notRun caller.NotRun, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answered:
		r.report.Answered++
	case notRun == caller.NotRunTrue:
		r.report.NotRun++
	case notRun == caller.NotRunFalse:
		r.report.Ran++
	default:
		r.report.Unknown++
	}
}

func (r *measurement) send(ctx context.Context, key string, first bool) (int, string, error) {
	to := r.routers[r.draw(len(r.routers))]
	url := "http://" + to.String() + caller.PathServices + rig.PlainService + "/bookings"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("booking "+key))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+rig.CallerKey(organisation))
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	request.Header.Set(caller.HeaderDeadline, time.Now().Add(sendTimeout).Format(time.RFC3339Nano))
	if first {
		request.Header.Set(caller.HeaderFirstSend, "true")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Print writes the results and the first ten violations.
func (r *Report) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "Seed=%d Routers=%d Requests=%d Rate=%.0f/s Faults=%t Restarts=%d LogFaults=%d\n"+
		"  Sends=%d Runs=%d KeysRunTwice=%d PromisesBroken=%d\n"+
		"  Answered=%d NotRun=%d Ran=%d Unknown=%d\n"+
		"  FirstSendMedian=%s FirstSendP99=%s\n",
		r.Options.Seed, r.Options.Routers, r.Options.Requests, r.Options.Rate, r.Options.Faults, r.Restarts, r.LogFaults,
		r.Sends, r.Runs, r.KeysRunTwice, len(r.Violations),
		r.Answered, r.NotRun, r.Ran, r.Unknown, r.Latency(50), r.Latency(99))
	for _, b := range r.Violations[:min(len(r.Violations), 10)] {
		_, _ = fmt.Fprintln(out, "  BROKEN:", b)
	}
	return err
}
