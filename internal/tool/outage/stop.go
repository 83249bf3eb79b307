package outage

import (
	"context"
	"fmt"
	"io"
	"time"

	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/load"
	"hyssopreach/internal/tool/process"
	"hyssopreach/internal/tool/rig"
)

const (
	organisations  = 16
	engines        = 6
	plainEndpoints = 3
	// meanTokens makes chats long enough to be in flight when a router is killed.
	meanTokens  = 100
	promptBytes = 200
	// resends is how many times a caller may resend a request.
	resends    = 6
	tryTimeout = 20 * time.Second
	// entryHold is how long callers may keep an answer that lists the routers. A
	// planned stop takes longer than that.
	entryHold    = time.Second
	startTimeout = 30 * time.Second
)

func domains() []string { return []string{"Kharagpur", "Kolkata", "Durgapur"} }

// StopOptions configures a measurement of a planned stop and a kill.
type StopOptions struct {
	// Binary is the program of the routers; if it is empty, the program is built.
	Binary    string
	PerSecond float64
	// Length is the length of each of the two loads. The router is stopped or
	// killed after a third of it.
	Length time.Duration
	Seed   uint64
}

// StopReport is the result of Stop.
type StopReport struct {
	// Drain reports the load during a planned stop, and Kill the load during
	// which a router was killed.
	Drain *load.Report
	Kill  *load.Report
	// StopTook is the duration of the planned stop, and StopError its error.
	StopTook  time.Duration
	StopError error
	// RanTwice holds the keys that ran more than once. FalseNotRun holds the keys
	// that ran although every try was reported as not run.
	RanTwice    []string
	FalseNotRun []string
}

// Stop measures a planned stop and then a kill, each under a steady load.
func Stop(ctx context.Context, o StopOptions, w io.Writer) (*StopReport, error) {
	f, err := process.StartFleet(ctx, process.FleetOptions{
		Binary: o.Binary, Document: rig.NewDocument(organisations, engines, plainEndpoints, domains()),
		Routers: len(domains()), FailureDomains: domains(), Platform: fleet.Default(), EntryHold: entryHold,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	report := &StopReport{}
	report.Drain = runLoad(ctx, f, o, func() {
		began := time.Now()
		report.StopError = f.Routers[1].Stop()
		report.StopTook = time.Since(began)
		f.Routers[1] = nil
	})
	report.Drain.Print(w, "Drain")
	_, _ = fmt.Fprintf(w, "PlannedStop Took=%v Error=%v\n", report.StopTook.Round(time.Millisecond), report.StopError)
	if err := f.StartRouter(ctx, 1); err != nil {
		return nil, err
	}
	o.Seed++
	report.Kill = runLoad(ctx, f, o, func() {
		err = f.Routers[2].Kill()
		f.Routers[2] = nil
	})
	report.Kill.Print(w, "Kill")
	report.compareRuns(f.Rig.Platform.RunsByKey())
	_, _ = fmt.Fprintf(w, "Runs RanTwice=%d FalseNotRun=%d\n", len(report.RanTwice), len(report.FalseNotRun))
	return report, err
}

func (r *StopReport) compareRuns(runs map[string]int) {
	for key, count := range runs {
		if count > 1 {
			r.RanTwice = append(r.RanTwice, key)
		}
	}
	for _, l := range []*load.Report{r.Drain, r.Kill} {
		for _, key := range l.NeverRun {
			if runs[key] > 0 {
				r.FalseNotRun = append(r.FalseNotRun, key)
			}
		}
	}
}

// runLoad runs the load and calls disrupt after a third of it.
func runLoad(ctx context.Context, f *process.Fleet, o StopOptions, disrupt func()) *load.Report {
	s := newLoad(f.Rig, o.PerSecond, o.Seed)
	s.RequestMix.Kinds = append(s.RequestMix.Kinds, load.KindBooking, load.KindBooking)
	s.Addresses = f.CallerAddresses()
	ctx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(o.Length / 3)
		disrupt()
	}()
	report := load.Run(ctx, s)
	<-done
	return report
}

// newLoad returns a mixed load of requests that may be resent.
func newLoad(r *rig.Rig, perSecond float64, seed uint64) *load.Settings {
	s := &load.Settings{
		PerSecond: perSecond, Resends: resends, Timeout: tryTimeout, Seed: seed,
		RequestMix: load.RequestMix{
			Kinds: []load.Kind{load.KindStream, load.KindUnstreamed, load.KindAsset, load.KindShare},
			Model: rig.Model, Tokens: meanTokens, PromptBytes: promptBytes, PlainPrefix: "/services/" + rig.PlainService,
		},
	}
	for _, organisation := range r.Document.Organisations {
		s.Keys = append(s.Keys, rig.CallerKey(organisation.Name))
	}
	return s
}
