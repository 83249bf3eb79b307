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
	// readMargin is added to the time for which the log may hold a read open.
	readMargin = 2 * time.Second
	// appendTimeout bounds one append of a snapshot.
	appendTimeout = 5 * time.Second
	// fetchTimeout bounds one fetch of the text from a peer.
	fetchTimeout = 5 * time.Second
)

// configurations learns the text in force and helps others to learn it.
type configurations struct {
	driver  *driver.Driver[configuration.Input, configuration.Output]
	log     *platform.Log
	fleet   *fleet
	peers   *peers
	logger  log.Interface
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	changed chan struct{} // holds a token while a new view has not been taken

	mu    sync.Mutex
	heard map[view.RouterID]heard // guarded by mu
}

func startConfigurations(o configuration.Options, l *platform.Log, f *fleet, p *peers, logger log.Interface) *configurations {
	ctx, cancel := context.WithCancel(context.Background())
	c := &configurations{
		log: l, fleet: f, peers: p, logger: logger, ctx: ctx, cancel: cancel, changed: make(chan struct{}, 1),
		heard: make(map[view.RouterID]heard),
	}
	spreader := configuration.New(o)
	c.driver = driver.New(spreader.Step, configuration.Input(configuration.Alarm{}), c.apply)
	p.Register("ConfigurationOffer", c.offered)
	f.watch(c.viewChanged)
	c.spawn(c.takeViews)
	return c
}

// Close stops and waits.
func (c *configurations) Close() {
	c.cancel()
	c.driver.Close()
	c.running.Wait()
	_ = c.log.Close()
}

// viewChanged is called while the fleet is locked, and the driver's outputs
// lock the fleet, so that the view must be taken by another goroutine.
func (c *configurations) viewChanged(*view.Snapshot) {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *configurations) takeViews() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.changed:
			c.driver.Input(configuration.Change{View: c.fleet.View()})
		}
	}
}

func (c *configurations) offered(from view.RouterID, _ uint64, w *wire.Message) {
	offer := w.GetConfigurationOffer()
	version := revision.Version{Revision: offer.Revision, Offset: offer.Offset, Hash: offer.Hash}
	c.remember(from, version)
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
		c.inForce(out.Configuration)
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

func (c *configurations) inForce(next revision.Configuration) {
	before := c.fleet.configuration().Version
	if !invariant.Check(next.Revision > before.Revision, invariant.RevisionNeverFalls,
		"router", string(c.fleet.self)) {
		return
	}
	c.fleet.setConfiguration(next)
}

// spawn runs work beside the driver, which must not block.
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
	var gone *platform.GoneError
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
		result.Err = errors.New("the router has left the view")
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
