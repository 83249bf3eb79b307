package outage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/standin/loopback"
	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/state/view"
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

// fleetOfProcesses is a platform in this process with routers in their own.
type fleetOfProcesses struct {
	rig      *rig.Rig
	binary   string
	folder   string
	settings []*settings.Settings
	routers  []*process.Router
}

// Stop measures a planned stop and then a kill, each under a steady load.
func Stop(ctx context.Context, o StopOptions, w io.Writer) (*StopReport, error) {
	f, err := startProcesses(ctx, o.Binary)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.close() }()
	report := &StopReport{}
	report.Drain = f.during(ctx, o, func() {
		began := time.Now()
		report.StopError = f.routers[1].Stop()
		report.StopTook = time.Since(began)
		f.routers[1] = nil
	})
	report.Drain.Print(w, "Drain")
	_, _ = fmt.Fprintf(w, "PlannedStop Took=%v Error=%v\n", report.StopTook.Round(time.Millisecond), report.StopError)
	if f.routers[1], err = process.Start(ctx, f.binary, f.folder, f.settings[1]); err != nil {
		return nil, err
	}
	o.Seed++
	report.Kill = f.during(ctx, o, func() {
		err = f.routers[2].Kill()
		f.routers[2] = nil
	})
	report.Kill.Print(w, "Kill")
	report.judge(f.rig.Platform.RunsByKey())
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
func (f *fleetOfProcesses) during(ctx context.Context, o StopOptions, outage func()) *load.Report {
	ctx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(o.Length / 3)
		outage()
	}()
	report := load.Run(ctx, f.load(o))
	<-done
	return report
}

func (f *fleetOfProcesses) load(o StopOptions) *load.Settings {
	s := newLoad(f.rig, o.PerSecond, o.Seed)
	s.Work.Kinds = append(s.Work.Kinds, load.KindBooking, load.KindBooking)
	for _, one := range f.settings {
		s.Addresses = append(s.Addresses, one.CallerAddress)
	}
	return s
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

func startProcesses(ctx context.Context, binary string) (*fleetOfProcesses, error) {
	folder, err := os.MkdirTemp("", "hyssopreach-measure")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	f := &fleetOfProcesses{binary: binary, folder: folder}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.close())
	}
	return f, nil
}

func (f *fleetOfProcesses) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var err error
	if f.binary == "" {
		if f.binary, err = process.Build(ctx, f.folder); err != nil {
			return err
		}
	}
	stands := fleet.Default()
	for i, domain := range domains() {
		s, err := newSettings(i, domain)
		if err != nil {
			return err
		}
		f.settings = append(f.settings, s)
		stands.VMs = append(stands.VMs, platform.VM{
			Name: string(s.Name), FailureDomain: domain, Address: s.PeerAddress.Addr(), Started: time.Now(),
		})
	}
	f.rig, err = rig.Start(ctx, rig.Options{
		Document:       rig.Document(organisations, engines, plainServices, domains()),
		FailureDomains: domains(), Platform: stands, EntryHold: entryHold,
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
	if err != nil {
		return err
	}
	for _, s := range f.settings {
		s.LogAddress, s.VMListAddress = f.rig.Platform.Log.Address(), f.rig.Platform.VMList.Address()
		s.WeightStoreAddress = f.rig.Platform.WeightStore.Address()
		for _, peer := range f.settings {
			s.Peers = append(s.Peers, peer.PeerAddress)
		}
		r, err := process.Start(ctx, f.binary, f.folder, s)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	return nil
}

// newSettings are those of a router on an IP number of its own.
func newSettings(number int, domain string) (*settings.Settings, error) {
	s := &settings.Settings{
		Name: view.RouterID(fmt.Sprintf("router-%02d", number+1)), FailureDomain: domain,
		EntryHold: settings.Duration(entryHold),
		Limits: settings.Limits{
			BodyBytes: settings.DefaultBodyBytes, HeaderBytes: settings.DefaultHeaderBytes,
			WaitingBytes: settings.DefaultWaitingBytes, KeptAnswerBytes: settings.DefaultKeptAnswerBytes,
		},
	}
	for _, address := range []*netip.AddrPort{&s.PeerAddress, &s.CallerAddress, &s.OperatorAddress} {
		found, err := loopback.Address()
		if err != nil {
			return nil, err
		}
		*address = found
	}
	return s, nil
}

// close stops everything and removes the folder.
func (f *fleetOfProcesses) close() error {
	var errs []error
	for _, r := range f.routers {
		if r != nil {
			errs = append(errs, r.Kill())
		}
	}
	if f.rig != nil {
		errs = append(errs, f.rig.Close())
	}
	return errors.Join(append(errs, os.RemoveAll(f.folder))...)
}
