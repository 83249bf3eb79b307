package rig

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/standin/loopback"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/router"
)

// readyPoll is the time between two looks at whether a condition holds.
const readyPoll = 5 * time.Millisecond

// Options say what to start.
type Options struct {
	// Document is the operators' text; endpoints without an address get a
	// free one.
	Document *text.Document
	// Routers is the number of routers, spread over the FailureDomains in
	// turn.
	Routers        int
	FailureDomains []string
	// Platform holds the settings of the stand-ins.
	Platform fleet.Settings
	// Scheduler makes the scheduler of each router; nil means the default.
	Scheduler func(id view.RouterID) schedule.Scheduler
	// Network makes the network of each router from the host's, so that a
	// measurement can cut it; nil leaves it as it is.
	Network func(number int, host router.Network) router.Network
	// EntryHold is how long entry answers hold.
	EntryHold time.Duration
	Logger    log.Interface
}

// Rig is a running installation.
type Rig struct {
	options  Options
	Document *text.Document
	Platform *fleet.Fleet
	// Routers are in the order of their names; a stopped one is nil.
	Routers []*router.Router

	settings  []*settings.Settings
	published uint64

	mu sync.Mutex // guards changes of Routers while others look at them
}

// Key returns the caller key of an organisation.
func Key(organisation string) string { return "key-" + organisation }

// Start starts the platform, publishes the text and starts the routers. It
// returns once the text is in force on every router.
func Start(ctx context.Context, o Options) (*Rig, error) {
	r := &Rig{options: o, Document: o.Document, Routers: make([]*router.Router, o.Routers)}
	if err := r.address(); err != nil {
		return nil, err
	}
	var err error
	if r.Platform, err = fleet.Start(o.Platform, r.Document); err != nil {
		return nil, fmt.Errorf("start the platform: %w", err)
	}
	for _, s := range r.settings {
		s.LogAddress, s.VMListAddress = r.Platform.Log.Address(), r.Platform.VMList.Address()
		s.WeightStoreAddress = r.Platform.WeightStore.Address()
	}
	if err := r.startRouters(ctx); err != nil {
		return nil, errors.Join(err, r.Close())
	}
	return r, nil
}

// address finds addresses for all that must be known before it starts.
func (r *Rig) address() error {
	for i := range r.Document.Pools {
		endpoints := r.Document.Pools[i].Endpoints
		for j := range endpoints {
			if endpoints[j].Address.IsValid() {
				continue
			}
			var err error
			if endpoints[j].Address, err = loopback.FreeAddress(); err != nil {
				return err
			}
		}
	}
	var peers []netip.AddrPort
	for i := range r.options.Routers {
		s, err := r.newSettings(i)
		if err != nil {
			return err
		}
		r.settings = append(r.settings, s)
		peers = append(peers, s.PeerAddress)
		r.options.Platform.VMs = append(r.options.Platform.VMs, platform.VM{
			Name: string(s.Name), FailureDomain: s.FailureDomain, Address: s.PeerAddress.Addr(), Started: time.Now(),
		})
	}
	for _, s := range r.settings {
		s.Peers = peers
	}
	return nil
}

func (r *Rig) newSettings(i int) (*settings.Settings, error) {
	peer, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	free := netip.AddrPortFrom(peer.Addr(), 0)
	domains := r.options.FailureDomains
	s := settings.Default()
	s.Name, s.FailureDomain = view.RouterID(fmt.Sprintf("router-%02d", i+1)), domains[i%len(domains)]
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = free, peer, free
	s.EntryHold = settings.Duration(r.options.EntryHold)
	return s, nil
}

func (r *Rig) startRouters(ctx context.Context) error {
	if err := r.Publish(r.Document); err != nil {
		return err
	}
	for i := range r.Routers {
		if err := r.StartRouter(ctx, i); err != nil {
			return err
		}
	}
	return r.Await(ctx, func(one *router.Router) bool {
		v := one.Fleet()
		return v.Revision > 0 && len(v.Endpoints) > 0 && len(v.Routers) == len(r.Routers)
	})
}

// StartRouter starts the router with the index, with empty state.
func (r *Rig) StartRouter(ctx context.Context, i int) error {
	s := *r.settings[i]
	o := router.Options{
		Settings: &s, Incarnation: uint64(time.Now().UnixNano()), Network: router.NewNetwork(s.PeerAddress.Addr()),
		Logger: r.options.Logger, Registry: metrics.NewRegistry(),
	}
	if r.options.Network != nil {
		o.Network = r.options.Network(i, o.Network)
	}
	if r.options.Scheduler != nil {
		o.Scheduler = r.options.Scheduler(s.Name)
	}
	started, err := router.Start(ctx, o)
	if err != nil {
		return err
	}
	// A router that starts again keeps its caller address, as a VM does.
	r.settings[i].CallerAddress, r.settings[i].OperatorAddress = started.CallerAddress(), started.OperatorAddress()
	r.set(i, started)
	return nil
}

// Running returns the routers that are not stopped.
func (r *Rig) Running() []*router.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.Routers), func(one *router.Router) bool { return one == nil })
}

// CallerAddress is where the router with the index listens for callers, also
// while it is stopped.
func (r *Rig) CallerAddress(i int) netip.AddrPort { return r.settings[i].CallerAddress }

func (r *Rig) set(i int, one *router.Router) *router.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.Routers[i]
	r.Routers[i] = one
	return before
}

// Kill ends the router with the index at once, as a lost VM does.
func (r *Rig) Kill(i int) {
	r.set(i, nil).Close()
}

// Drain stops the router with the index as planned.
func (r *Rig) Drain(ctx context.Context, i int) error {
	err := r.Routers[i].Drain(ctx)
	r.set(i, nil)
	return err
}

// Await waits until the condition holds on every running router.
func (r *Rig) Await(ctx context.Context, condition func(one *router.Router) bool) error {
	for _, one := range r.Routers {
		for one != nil && !condition(one) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for the routers: %w", ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Publish appends a text to the log, based on the one published before.
func (r *Rig) Publish(doc *text.Document) error {
	next := *doc
	next.BasedOn = r.published
	data, err := encode(&next)
	if err != nil {
		return fmt.Errorf("publish a text: %w", err)
	}
	if _, err := text.Parse(data); err != nil {
		return fmt.Errorf("publish a text: %w", err)
	}
	record := revision.NewPublish(fmt.Sprint("rig-", r.published+1), r.published, data)
	payload, err := record.Encode()
	if err != nil {
		return fmt.Errorf("publish a text: %w", err)
	}
	r.Platform.Log.Append(revision.Stream, [][]byte{payload})
	r.published++
	return nil
}

// Close stops everything and waits.
func (r *Rig) Close() error {
	for i := range r.Routers {
		if r.Routers[i] != nil {
			r.Kill(i)
		}
	}
	return r.Platform.Close()
}
