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

// startTimeout bounds the start of a fleet.
const startTimeout = time.Minute

// FleetOptions say what to start.
type FleetOptions struct {
	// Binary is the router's program; empty builds it.
	Binary         string
	Document       *text.Document
	Routers        int
	FailureDomains []string
	Platform       fleet.Settings
	EntryHold      time.Duration
	// Environment is added to that of the routers, such as "GOMAXPROCS=1".
	Environment []string
}

// Fleet is a platform in this process with routers in processes of their own.
type Fleet struct {
	Rig *rig.Rig
	// Settings are those of the routers, and Routers those that run; a
	// stopped one is nil.
	Settings []*settings.Settings
	Routers  []*Router

	options FleetOptions
	folder  string
}

// StartFleet starts the platform and then the routers, each of which is ready
// when it returns.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "hyssopreach-measure")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	f := &Fleet{options: o, folder: folder, Routers: make([]*Router, o.Routers)}
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
		if o.Binary, err = build(ctx, f.folder); err != nil {
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

// StartRouter starts the router of that number, with empty state.
func (f *Fleet) StartRouter(ctx context.Context, number int) error {
	r, err := start(ctx, f.options.Binary, f.folder, f.options.Environment, f.Settings[number])
	f.Routers[number] = r
	return err
}

// CallerAddresses are those of all routers, also of stopped ones.
func (f *Fleet) CallerAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range f.Settings {
		all = append(all, s.CallerAddress)
	}
	return all
}

// newSettings are those of a router on IP numbers of its own.
func (f *Fleet) newSettings(number int) (*settings.Settings, error) {
	domains := f.options.FailureDomains
	s := settings.Default()
	s.Name, s.FailureDomain = view.RouterID(fmt.Sprintf("router-%02d", number+1)), domains[number%len(domains)]
	s.EntryHold = settings.Duration(f.options.EntryHold)
	for _, address := range []*netip.AddrPort{&s.PeerAddress, &s.CallerAddress, &s.OperatorAddress} {
		found, err := loopback.Address()
		if err != nil {
			return nil, err
		}
		*address = found
	}
	return s, nil
}

// Close kills the routers, stops the platform and removes the folder.
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
	return errors.Join(append(errs, os.RemoveAll(f.folder))...)
}
