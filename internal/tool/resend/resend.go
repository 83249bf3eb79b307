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

// Options describe one run.
type Options struct {
	Seed     uint64
	Routers  int
	Requests int
	// Rate is how many requests begin a second.
	Rate float64
	// Sends is the most times that one request is sent.
	Sends  int
	Faults bool
}

const (
	sendTimeout  = 3 * time.Second
	callerWait   = 4 * time.Second
	resendPause  = 300 * time.Millisecond
	faultPause   = 700 * time.Millisecond
	restartPause = 300 * time.Millisecond
	readyTimeout = time.Minute
	organisation = "org-01"
	highest      = int64(time.Minute / time.Microsecond)
	digits       = 3
)

// Report holds the figures of one run.
type Report struct {
	Options  Options
	Sends    int
	Answered int
	NotRun   int
	Ran      int
	Unknown  int
	// Runs were counted at the endpoints; KeysRunTwice is the number of keys
	// with more than one.
	Runs         int
	KeysRunTwice int
	// Broken are the answers and refusals that the runs contradict.
	Broken []string
	// Restarts and LogFaults are the faults that were brought about.
	Restarts  int
	LogFaults int

	latency *hdrhistogram.Histogram
}

// Latency returns the time of the answered first sends at a percentile.
func (r *Report) Latency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// run is one run under way.
type run struct {
	options Options
	rig     *rig.Rig
	routers []netip.AddrPort
	client  *http.Client

	mu     sync.Mutex
	report *Report    // guarded by mu
	random *rand.Rand // guarded by mu
}

// Run carries out the run and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	domains := []string{"Kharagpur", "Kolkata", "Durgapur"}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	installation, err := rig.Start(ready, rig.Options{
		Document: rig.Document(1, 1, 2, domains), Routers: o.Routers, FailureDomains: domains,
		Platform: fleet.Default(), EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		return nil, fmt.Errorf("start the installation: %w", err)
	}
	r := &run{
		options: o, rig: installation,
		client: &http.Client{Timeout: callerWait, Transport: &http.Transport{MaxIdleConnsPerHost: o.Requests}},
		report: &Report{Options: o, latency: hdrhistogram.New(1, highest, digits)},
		random: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	for _, one := range installation.Routers {
		r.routers = append(r.routers, one.CallerAddress())
	}
	err = r.carryOut(ctx)
	r.client.CloseIdleConnections()
	return r.report, errors.Join(err, installation.Close())
}

func (r *run) carryOut(ctx context.Context) error {
	troubled, stop := context.WithCancel(ctx)
	trouble := make(chan error, 1)
	go func() { trouble <- r.trouble(troubled) }()
	requests, ctx := errgroup.WithContext(ctx)
	gap := time.NewTicker(time.Duration(float64(time.Second) / r.options.Rate))
	defer gap.Stop()
	for i := range r.options.Requests {
		select {
		case <-gap.C:
		case <-ctx.Done():
		}
		requests.Go(func() error { return r.request(ctx, fmt.Sprintf("key-%d-%d", r.options.Seed, i)) })
	}
	err := requests.Wait()
	stop()
	err = errors.Join(err, <-trouble)
	r.count()
	return err
}

// count reads the endpoints' own counts.
func (r *run) count() {
	for key, n := range r.runs() {
		r.report.Runs += n
		if n > 1 {
			r.report.KeysRunTwice++
			r.report.Broken = append(r.report.Broken, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
}

func (r *run) runs() map[string]int {
	counts := map[string]int{}
	for _, s := range r.rig.Platform.Services {
		for key, n := range s.Runs().ByKey {
			counts[key] += n
		}
	}
	return counts
}

// trouble makes the log fail and restarts routers, until the context ends.
func (r *run) trouble(ctx context.Context) error {
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

// logFaults draws how the log fails next.
func (r *run) logFaults() journal.Faults {
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

func (r *run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// request sends one request until it is answered or was sent often enough.
// Some callers send it again although it was answered.
func (r *run) request(ctx context.Context, key string) error {
	told := caller.NotRunUnknown
	answered := false
	for send := range r.options.Sends {
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
			// The caller knows nothing.
		case status == http.StatusOK:
			answered = true
			if send == 0 {
				r.mu.Lock()
				_ = r.report.latency.RecordValue(time.Since(began).Microseconds())
				r.mu.Unlock()
			}
			r.check(key, strings.Contains(body, key), "an answer of another request")
		default:
			told = r.refused(key, body)
		}
		if answered && (!r.options.Faults || r.draw(10) > 0) {
			break
		}
		time.Sleep(time.Duration(r.draw(int(resendPause))))
	}
	r.end(key, told, answered)
	return nil
}

// refused checks a refusal against the runs so far.
func (r *run) refused(key, body string) caller.NotRun {
	var p caller.Problem
	if err := json.Unmarshal([]byte(body), &p); err != nil {
		r.check(key, false, "a refusal that is no problem document")
		return caller.NotRunUnknown
	}
	runs := r.runs()[key]
	r.check(key, p.NotRun != caller.NotRunTrue || runs == 0, "refused as not run after a run")
	r.check(key, p.NotRun != caller.NotRunFalse || runs > 0, "refused as having run without a run")
	return p.NotRun
}

func (r *run) check(key string, holds bool, what string) {
	if !holds {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Broken = append(r.report.Broken, key+": "+what)
	}
}

func (r *run) end(key string, told caller.NotRun, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answered:
		r.report.Answered++
	case told == caller.NotRunTrue:
		r.report.NotRun++
	case told == caller.NotRunFalse:
		r.report.Ran++
	default:
		r.report.Unknown++
	}
}

func (r *run) send(ctx context.Context, key string, first bool) (int, string, error) {
	to := r.routers[r.draw(len(r.routers))]
	url := "http://" + to.String() + caller.PathServices + rig.PlainService + "/bookings"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("booking "+key))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+rig.Key(organisation))
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

// Print writes the figures.
func (r *Report) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "Seed=%d Routers=%d Requests=%d Rate=%.0f/s Faults=%t Restarts=%d LogFaults=%d\n"+
		"  Sends=%d Runs=%d KeysRunTwice=%d PromisesBroken=%d\n"+
		"  Answered=%d NotRun=%d Ran=%d Unknown=%d\n"+
		"  FirstSendMedian=%s FirstSendP99=%s\n",
		r.Options.Seed, r.Options.Routers, r.Options.Requests, r.Options.Rate, r.Options.Faults, r.Restarts, r.LogFaults,
		r.Sends, r.Runs, r.KeysRunTwice, len(r.Broken),
		r.Answered, r.NotRun, r.Ran, r.Unknown, r.Latency(50), r.Latency(99))
	for _, b := range r.Broken[:min(len(r.Broken), 10)] {
		_, _ = fmt.Fprintln(out, "  BROKEN:", b)
	}
	return err
}
