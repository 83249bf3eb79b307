package process

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/standin/loopback"
	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/tool/rig"
)

// startTimeout bounds the time that a fleet may take to start.
const startTimeout = time.Minute

// FleetOptions describes the routers and the platform of a fleet.
type FleetOptions struct {
	// Binary is the path of the router's program. If it is empty, StartFleet
	// builds the program.
	Binary         string
	Document       *text.Document
	Routers        int
	FailureDomains []string
	Platform       fleet.Settings
	EntryHold      time.Duration
	// Environment holds additional environment variables of the routers, such
	// as "GOMAXPROCS=1".
	Environment []string
}

// Fleet is a simulated platform in this process and a set of routers, each in a
// separate process.
type Fleet struct {
	// Rig runs the simulated platform and publishes the configuration. It has
	// no routers.
	Rig *rig.Rig
	// Settings holds the settings of all routers. Routers holds the router
	// processes at the same indices, nil for a router that is not running.
	Settings []*settings.Settings
	Routers  []*Router

	options   FleetOptions
	directory string
}

// StartFleet starts the platform and then the routers. It returns when all
// routers are ready.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "hyssopreach-measure")
	if err != nil {
		return nil, fmt.Errorf("create directory for settings and logs: %w", err)
	}
	f := &Fleet{options: o, directory: directory, Routers: make([]*Router, o.Routers)}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	o := &f.options
	var err error
	if o.Binary == "" {
		if o.Binary, err = buildRouter(ctx, f.directory); err != nil {
			return err
		}
	}
	for i := range o.Routers {
		s, err := f.newSettings(i)
		if err != nil {
			return err
		}
		f.Settings = append(f.Settings, s)
		o.Platform.VMs = append(o.Platform.VMs, platform.VM{
			Name: string(s.Name), FailureDomain: s.FailureDomain, Address: s.PeerAddress.Addr(), Started: time.Now(),
		})
	}
	f.Rig, err = rig.Start(ctx, rig.Options{
		Document: o.Document, FailureDomains: o.FailureDomains, Platform: o.Platform, EntryHold: o.EntryHold,
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
	if err != nil {
		return err
	}
	for i, s := range f.Settings {
		s.LogAddress, s.VMListAddress = f.Rig.Platform.Log.Address(), f.Rig.Platform.VMList.Address()
		s.WeightStoreAddress = f.Rig.Platform.WeightStore.Address()
		for _, peer := range f.Settings {
			s.Peers = append(s.Peers, peer.PeerAddress)
		}
		if err := f.StartRouter(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts the router with the given number, with empty state, and
// waits until it is ready.
func (f *Fleet) StartRouter(ctx context.Context, number int) error {
	r, err := startRouter(ctx, f.options.Binary, f.directory, f.options.Environment, f.Settings[number])
	f.Routers[number] = r
	return err
}

// CallerAddresses returns the caller addresses of all routers, including
// stopped ones.
func (f *Fleet) CallerAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range f.Settings {
		all = append(all, s.CallerAddress)
	}
	return all
}

// newSettings returns settings for the router with the given number, which
// listens on random loopback addresses.
func (f *Fleet) newSettings(number int) (*settings.Settings, error) {
	domains := f.options.FailureDomains
	s := settings.Default()
	s.Name, s.FailureDomain = view.RouterID(fmt.Sprintf("router-%02d", number+1)), domains[number%len(domains)]
	s.EntryHold = settings.Duration(f.options.EntryHold)
	for _, address := range []*netip.AddrPort{&s.PeerAddress, &s.CallerAddress, &s.OperatorAddress} {
		free, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return s, nil
}

// Close kills the routers, stops the platform, and removes the directory with
// the routers' settings and logs.
func (f *Fleet) Close() error {
	var errs []error
	for _, r := range f.Routers {
		if r != nil {
			errs = append(errs, r.Kill())
		}
	}
	if f.Rig != nil {
		errs = append(errs, f.Rig.Close())
	}
	return errors.Join(append(errs, os.RemoveAll(f.directory))...)
}
