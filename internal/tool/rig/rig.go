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

// readyPollInterval is the time between two checks of an awaited condition.
const readyPollInterval = 5 * time.Millisecond

// Options configures an installation.
type Options struct {
	// Document is the configuration document to publish. Start assigns a free
	// address to each endpoint that has none.
	Document *text.Document
	// Routers is the number of routers. They are distributed over the
	// FailureDomains in turn.
	Routers        int
	FailureDomains []string
	// Platform holds the settings of the stand-ins.
	Platform fleet.Settings
	// Scheduler returns a new scheduler for a router; nil selects the default
	// scheduler.
	Scheduler func(id view.RouterID) schedule.Scheduler
	// Network wraps the host network for the router with the given index, so
	// that a measurement can interrupt connections; nil uses the host network.
	Network func(number int, host router.Network) router.Network
	// EntryHold is how long callers may keep an answer that lists routers.
	EntryHold time.Duration
	Logger    log.Interface
}

// Rig is a running installation.
type Rig struct {
	options  Options
	Document *text.Document
	Platform *fleet.Platform
	// Routers holds the routers in the order of their names. The element of a
	// stopped router is nil.
	Routers []*router.Router

	settings          []*settings.Settings
	publishedRevision uint64

	mu sync.Mutex // guards writes to Routers against concurrent Running calls
}

// CallerKey returns the caller key of an organisation.
func CallerKey(organisation string) string { return "key-" + organisation }

// Start starts the platform, publishes the document and starts the routers. It
// returns once the document is in force on every router and every router knows
// all the others.
func Start(ctx context.Context, o Options) (*Rig, error) {
	r := &Rig{options: o, Document: o.Document, Routers: make([]*router.Router, o.Routers)}
	if err := r.assignAddresses(); err != nil {
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

// assignAddresses assigns free addresses to the endpoints that have none and to
// the peer servers of the routers. Both must be known before anything starts.
func (r *Rig) assignAddresses() error {
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
	anyPort := netip.AddrPortFrom(peer.Addr(), 0)
	domains := r.options.FailureDomains
	s := settings.Default()
	s.Name, s.FailureDomain = view.RouterID(fmt.Sprintf("router-%02d", i+1)), domains[i%len(domains)]
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = anyPort, peer, anyPort
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
	return r.WaitForAll(ctx, func(rt *router.Router) bool {
		v := rt.Fleet()
		return v.Revision > 0 && len(v.Endpoints) > 0 && len(v.Routers) == len(r.Routers)
	})
}

// StartRouter starts the router with the given index, with empty state.
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
	// A restarted router listens on the same caller and operator addresses as
	// before, as on a VM.
	r.settings[i].CallerAddress, r.settings[i].OperatorAddress = started.CallerAddress(), started.OperatorAddress()
	r.setRouter(i, started)
	return nil
}

// Running returns the routers that are not stopped.
func (r *Rig) Running() []*router.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.Routers), func(rt *router.Router) bool { return rt == nil })
}

// CallerAddress returns the address on which the router with the given index
// listens for callers. The address remains the same while the router is
// stopped.
func (r *Rig) CallerAddress(i int) netip.AddrPort { return r.settings[i].CallerAddress }

// setRouter replaces the router with the given index and returns the previous
// one.
func (r *Rig) setRouter(i int, replacement *router.Router) *router.Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.Routers[i]
	r.Routers[i] = replacement
	return previous
}

// Kill stops the router with the given index at once, as the loss of its VM
// does.
func (r *Rig) Kill(i int) {
	r.setRouter(i, nil).Close()
}

// Drain performs a planned stop of the router with the given index: the router
// drains first.
func (r *Rig) Drain(ctx context.Context, i int) error {
	err := r.Routers[i].Drain(ctx)
	r.setRouter(i, nil)
	return err
}

// WaitForAll waits until the condition holds on every running router.
func (r *Rig) WaitForAll(ctx context.Context, condition func(rt *router.Router) bool) error {
	for _, rt := range r.Routers {
		for rt != nil && !condition(rt) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for a condition on the routers: %w", ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Publish appends a document to the log. The document is based on the one
// published before it.
func (r *Rig) Publish(doc *text.Document) error {
	next := *doc
	next.BasedOn = r.publishedRevision
	data, err := encode(&next)
	if err != nil {
		return fmt.Errorf("encode the document to publish: %w", err)
	}
	if _, err := text.Parse(data); err != nil {
		return fmt.Errorf("check the document to publish: %w", err)
	}
	record := revision.NewPublish(fmt.Sprint("rig-", r.publishedRevision+1), r.publishedRevision, data)
	payload, err := record.Encode()
	if err != nil {
		return fmt.Errorf("encode the log record of the document: %w", err)
	}
	r.Platform.Log.Append(revision.Stream, [][]byte{payload})
	r.publishedRevision++
	return nil
}

// Close stops the routers and then the platform, and waits until they have
// stopped.
func (r *Rig) Close() error {
	for i := range r.Routers {
		if r.Routers[i] != nil {
			r.Kill(i)
		}
	}
	return r.Platform.Close()
}
