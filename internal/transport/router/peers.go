package router

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/peer"
)

// receiver takes messages of one kind from peers; it must not block.
type receiver func(from view.RouterID, incarnation uint64, m *wire.Message)

// peers connects the components with the links to other routers.
type peers struct {
	fleet     *fleet
	links     *peer.Links
	logger    log.Interface
	receivers map[string]receiver
	// schedule takes the messages between schedulers, of whatever kind.
	schedule func(schedule.Delivery)
	// confirm tells what has been read of the platform's store; nil if there
	// is none.
	confirm func(q *wire.ConfirmationQuery) (*wire.Confirmation, error)
	answers func(ctx context.Context, q *wire.AnswerQuery, send func(*wire.AnswerPart) error) error
}

// On registers the receiver of a kind of message. All registrations happen
// before the peer server starts.
func (p *peers) Register(kind string, r receiver) { p.receivers[kind] = r }

// Receive hands a message to the component that registered for its kind.
func (p *peers) Receive(from view.RouterID, incarnation uint64, m *wire.Message) {
	if message, ok := wire.ToScheduler(m); ok {
		p.schedule(schedule.Delivery{From: from, Message: message})
		return
	}
	kind := peer.Kind(m)
	if r, ok := p.receivers[kind]; ok {
		r(from, incarnation, m)
		return
	}
	p.logger.WithField("Peer", from).WithField("Kind", kind).Warn("MessageOfUnknownKind")
}

// Address returns where a router listens for peers.
func (p *peers) Address(id view.RouterID) (netip.AddrPort, bool) {
	v := p.fleet.View()
	for i := range v.Routers {
		if v.Routers[i].ID == id {
			return v.Routers[i].PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}

// Send queues a message for a router. A router that has left the view gets
// nothing, as if the message had been lost.
func (p *peers) Send(to view.RouterID, m *wire.Message) {
	if address, ok := p.Address(to); ok {
		p.links.Send(address, m)
	}
}

// Fetch answers a peer with the configuration in force.
func (p *peers) Fetch(_ context.Context, q *wire.ConfigurationQuery) (*wire.ConfigurationText, error) {
	c := p.fleet.configuration()
	if c.Revision < q.AtLeastRevision || c.Document == nil {
		return nil, fmt.Errorf("fetch configuration: revision %d is in force here, at least %d was asked for", c.Revision, q.AtLeastRevision)
	}
	return wire.FromConfiguration(&c)
}

// Confirm tells a peer what this router has read of the platform's store.
func (p *peers) Confirm(_ context.Context, q *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	if p.confirm == nil {
		return nil, fmt.Errorf("confirm configuration: this router reads no store")
	}
	return p.confirm(q)
}

// Answer sends a kept or running answer to a peer.
func (p *peers) Answer(ctx context.Context, q *wire.AnswerQuery, send func(*wire.AnswerPart) error) error {
	if p.answers == nil {
		return fmt.Errorf("read kept answer: no answers are kept on this router")
	}
	return p.answers(ctx, q, send)
}

// SendScheduler delivers a message between schedulers.
func (p *peers) SendScheduler(to view.RouterID, m schedule.Message) {
	w := wire.FromScheduler(m)
	if w == nil {
		p.logger.WithField("Peer", to).WithField("Type", fmt.Sprintf("%T", m)).Error("MessageWithoutWireForm")
		return
	}
	p.Send(to, w)
}
