package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/configuration"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/invariant"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	"hyssopreach/internal/transport/platform"
)

const (
	// readMargin is added to the time for which the log may hold a read open
	// to give the timeout of the read.
	readMargin = 2 * time.Second
	// appendTimeout bounds one append of a snapshot.
	appendTimeout = 5 * time.Second
	// fetchTimeout bounds one fetch of the operators' text from a peer.
	fetchTimeout = 5 * time.Second
)

// configurations keeps the operators' text in force up to date at this router
// and helps to distribute it to other routers. It runs the state machine of
// package coordination/configuration.
type configurations struct {
	driver  *driver.Driver[configuration.Input, configuration.Output]
	log     *platform.Log
	fleet   *fleet
	peers   *peers
	logger  log.Interface
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	changed chan struct{} // holds a token while a new view has not been forwarded

	mu       sync.Mutex
	reported map[view.RouterID]reportedVersion // guarded by mu
}

func startConfigurations(o configuration.Options, l *platform.Log, f *fleet, p *peers, logger log.Interface) *configurations {
	ctx, cancel := context.WithCancel(context.Background())
	c := &configurations{
		log: l, fleet: f, peers: p, logger: logger, ctx: ctx, cancel: cancel, changed: make(chan struct{}, 1),
		reported: make(map[view.RouterID]reportedVersion),
	}
	machine := configuration.New(o)
	c.driver = driver.New(machine.Step, configuration.Input(configuration.Alarm{}), c.apply)
	p.Register("ConfigurationOffer", c.receiveOffer)
	f.watch(c.viewChanged)
	c.spawn(c.forwardViews)
	return c
}

// Close stops the state machine and waits for open reads, appends and fetches.
func (c *configurations) Close() {
	c.cancel()
	c.driver.Close()
	c.running.Wait()
	_ = c.log.Close()
}

// viewChanged signals forwardViews that there is a new view. It must not feed
// the driver itself: viewChanged is called while the fleet is locked, and
// applying the driver's outputs locks the fleet.
func (c *configurations) viewChanged(*view.Snapshot) {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// forwardViews feeds new views to the driver until the router stops.
func (c *configurations) forwardViews() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.changed:
			c.driver.Input(configuration.Change{View: c.fleet.View()})
		}
	}
}

func (c *configurations) receiveOffer(from view.RouterID, _ uint64, w *wire.Message) {
	offer := w.GetConfigurationOffer()
	version := revision.Version{Revision: offer.Revision, Offset: offer.Offset, Hash: offer.Hash}
	c.recordVersion(from, version)
	c.driver.Input(configuration.OfferReceived{From: from, Version: version})
}

func (c *configurations) apply(out configuration.Output) {
	switch out := out.(type) {
	case configuration.Read:
		c.spawn(func() { c.driver.Input(c.read(out.From)) })
	case configuration.Append:
		c.spawn(func() { c.driver.Input(c.append(out.Payload)) })
	case configuration.Fetch:
		c.spawn(func() { c.driver.Input(c.fetch(out)) })
	case configuration.Offer:
		c.peers.Send(out.To, &wire.Message{Kind: &wire.Message_ConfigurationOffer{ConfigurationOffer: &wire.ConfigurationOffer{
			Revision: out.Version.Revision, Offset: out.Version.Offset, Hash: out.Version.Hash,
		}}})
	case configuration.InForce:
		c.setInForce(out.Configuration)
	case configuration.Wake:
		c.driver.WakeAt(out.At)
	case configuration.Decision:
		if out.Event == configuration.EventBroken {
			invariant.Check(false, invariant.OneHashPerRevision, out.Fields...)
			return
		}
		driver.LogDecision(c.logger, out.Event, out.Fields)
	}
}

func (c *configurations) setInForce(next revision.Configuration) {
	previous := c.fleet.configuration().Version
	if !invariant.Check(next.Revision > previous.Revision, invariant.RevisionNeverFalls,
		"router", string(c.fleet.self)) {
		return
	}
	c.fleet.setConfiguration(next)
}

// spawn runs work in a goroutine of its own, because the driver must not block.
func (c *configurations) spawn(work func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		work()
	}()
}

func (c *configurations) read(from uint64) configuration.Input {
	ctx, cancel := context.WithTimeout(c.ctx, configuration.ReadWait+readMargin)
	defer cancel()
	page, err := c.log.Read(ctx, revision.Stream, from, time.Now().Add(configuration.ReadWait))
	var gone *platform.OffsetTrimmedError
	if errors.As(err, &gone) {
		return configuration.ReadResult{Oldest: gone.Oldest}
	}
	if err != nil {
		return configuration.ReadFailure{Err: err}
	}
	result := configuration.ReadResult{Oldest: page.Oldest, Records: make([]configuration.Record, len(page.Records))}
	for i, r := range page.Records {
		result.Records[i] = configuration.Record{Offset: r.Offset, Appended: r.Appended, Payload: r.Payload}
	}
	return result
}

func (c *configurations) append(payload []byte) configuration.Input {
	ctx, cancel := context.WithTimeout(c.ctx, appendTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, revision.Stream, [][]byte{payload})
	return configuration.AppendResult{Err: err}
}

func (c *configurations) fetch(out configuration.Fetch) configuration.Input {
	ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
	defer cancel()
	result := configuration.FetchResult{From: out.From}
	address, known := c.peers.Address(out.From)
	if !known {
		result.Err = errors.New("the router is no longer in the membership view")
		return result
	}
	answer, err := c.peers.links.Fetch(ctx, address, &wire.ConfigurationQuery{AtLeastRevision: out.Revision})
	if err != nil {
		result.Err = err
		return result
	}
	result.Version, result.Text, result.Err = wire.ToConfiguration(answer)
	return result
}
