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

// receiver handles messages of one kind from peers; it must not block.
type receiver func(from view.RouterID, incarnation uint64, m *wire.Message)

// peers connects the components with the links to other routers: it dispatches
// messages from peers, sends messages to peers, and answers their calls.
type peers struct {
	fleet     *fleet
	links     *peer.Links
	logger    log.Interface
	receivers map[string]receiver
	// receiveScheduler handles messages between schedulers, of all kinds.
	receiveScheduler func(schedule.Delivery)
	// confirm returns the state of this router's reads of the platform's store;
	// nil if the router reads no store.
	confirm func(q *wire.ConfirmationQuery) (*wire.Confirmation, error)
	// sendAnswer sends a retained or running answer; nil if the router retains
	// no answers.
	sendAnswer func(ctx context.Context, q *wire.AnswerQuery, send func(*wire.AnswerPart) error) error
}

// Register sets the receiver of a kind of message. It must not be called
// after the peer server has started.
func (p *peers) Register(kind string, r receiver) { p.receivers[kind] = r }

// Receive passes a message to the component that registered for its kind.
func (p *peers) Receive(from view.RouterID, incarnation uint64, m *wire.Message) {
	if message, ok := wire.ToScheduleMessage(m); ok {
		p.receiveScheduler(schedule.Delivery{From: from, Message: message})
		return
	}
	kind := peer.Kind(m)
	if r, ok := p.receivers[kind]; ok {
		r(from, incarnation, m)
		return
	}
	p.logger.WithField("Peer", from).WithField("Kind", kind).Warn("MessageOfUnknownKind")
}

// Address returns the address at which a router listens for peers, and false if
// the router is not in the view.
func (p *peers) Address(id view.RouterID) (netip.AddrPort, bool) {
	v := p.fleet.View()
	for i := range v.Routers {
		if v.Routers[i].ID == id {
			return v.Routers[i].PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}

// Send queues a message for a router. A message for a router that has left the
// view is dropped, as if the network had lost it.
func (p *peers) Send(to view.RouterID, m *wire.Message) {
	if address, ok := p.Address(to); ok {
		p.links.Send(address, m)
	}
}

// Fetch answers a peer's query for the configuration in force.
func (p *peers) Fetch(_ context.Context, q *wire.ConfigurationQuery) (*wire.ConfigurationText, error) {
	c := p.fleet.configuration()
	if c.Revision < q.AtLeastRevision || c.Document == nil {
		return nil, fmt.Errorf("fetch configuration: revision %d is in force here, at least %d was asked for", c.Revision, q.AtLeastRevision)
	}
	return wire.FromConfiguration(&c)
}

// Confirm answers a peer's query for the age and version of the data that this
// router has read from the platform's store.
func (p *peers) Confirm(_ context.Context, q *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	if p.confirm == nil {
		return nil, fmt.Errorf("confirm configuration: this router reads no store")
	}
	return p.confirm(q)
}

// Answer sends a retained or running answer to a peer.
func (p *peers) Answer(ctx context.Context, q *wire.AnswerQuery, send func(*wire.AnswerPart) error) error {
	if p.sendAnswer == nil {
		return fmt.Errorf("read kept answer: no answers are kept on this router")
	}
	return p.sendAnswer(ctx, q, send)
}

// SendScheduler sends a message to the scheduler of another router.
func (p *peers) SendScheduler(to view.RouterID, m schedule.Message) {
	w := wire.FromScheduleMessage(m)
	if w == nil {
		p.logger.WithField("Peer", to).WithField("Type", fmt.Sprintf("%T", m)).Error("MessageWithoutWireForm")
		return
	}
	p.Send(to, w)
}
