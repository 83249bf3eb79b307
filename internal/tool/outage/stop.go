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
	organisations = 16
	engines       = 6
	plainServices = 3
	// meanTokens makes chats long enough to be under way when a router dies.
	meanTokens  = 100
	promptBytes = 200
	// resends is how often a caller sends a request again.
	resends    = 6
	tryTimeout = 20 * time.Second
	// entryHold is how long an entry answer holds; a planned stop takes
	// longer than that.
	entryHold    = time.Second
	startTimeout = 30 * time.Second
)

func domains() []string { return []string{"Kharagpur", "Kolkata", "Durgapur"} }

// StopOptions say what to measure.
type StopOptions struct {
	// Binary is the router's program; empty builds it.
	Binary    string
	PerSecond float64
	// Length is the length of each of the two loads; the outage comes after a
	// third of it.
	Length time.Duration
	Seed   uint64
}

// StopReport tells what callers noticed.
type StopReport struct {
	// Drain is the load during a planned stop, Kill the one during which a
	// router was killed.
	Drain *load.Report
	Kill  *load.Report
	// StopTook is the time of the planned stop, and StopError its fault.
	StopTook  time.Duration
	StopError error
	// RanTwice are keys that ran more than once; FalseNotRun are keys whose
	// callers were told each time that they did not run although they did.
	RanTwice    []string
	FalseNotRun []string
}

// Stop measures a planned stop and then a kill, each under a steady load.
func Stop(ctx context.Context, o StopOptions, w io.Writer) (*StopReport, error) {
	f, err := process.StartFleet(ctx, process.FleetOptions{
		Binary: o.Binary, Document: rig.Document(organisations, engines, plainServices, domains()),
		Routers: len(domains()), FailureDomains: domains(), Platform: fleet.Default(), EntryHold: entryHold,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	report := &StopReport{}
	report.Drain = during(ctx, f, o, func() {
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
	report.Kill = during(ctx, f, o, func() {
		err = f.Routers[2].Kill()
		f.Routers[2] = nil
	})
	report.Kill.Print(w, "Kill")
	report.judge(f.Rig.Platform.RunsByKey())
	_, _ = fmt.Fprintf(w, "Runs RanTwice=%d FalseNotRun=%d\n", len(report.RanTwice), len(report.FalseNotRun))
	return report, err
}

func (r *StopReport) judge(runs map[string]int) {
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

// during puts the load on and lets the outage happen after a third of it.
func during(ctx context.Context, f *process.Fleet, o StopOptions, outage func()) *load.Report {
	s := newLoad(f.Rig, o.PerSecond, o.Seed)
	s.Work.Kinds = append(s.Work.Kinds, load.KindBooking, load.KindBooking)
	s.Addresses = f.CallerAddresses()
	ctx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(o.Length / 3)
		outage()
	}()
	report := load.Run(ctx, s)
	<-done
	return report
}

// newLoad is a mixed load of requests that may be repeated.
func newLoad(r *rig.Rig, perSecond float64, seed uint64) *load.Settings {
	s := &load.Settings{
		PerSecond: perSecond, Resends: resends, Timeout: tryTimeout, Seed: seed,
		Work: load.Work{
			Kinds: []load.Kind{load.KindStream, load.KindWhole, load.KindAsset, load.KindShare},
			Model: rig.Model, Tokens: meanTokens, PromptBytes: promptBytes, PlainPrefix: "/services/" + rig.PlainService,
		},
	}
	for _, organisation := range r.Document.Organisations {
		s.Keys = append(s.Keys, rig.Key(organisation.Name))
	}
	return s
}
