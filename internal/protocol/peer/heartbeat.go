package peer

import (
	"fmt"
	"math"
	"net/netip"

	"hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/state/view"
)

// FromHeartbeat converts a heartbeat to its wire form.
func FromHeartbeat(h *membership.Heartbeat) *Heartbeat {
	wire := &Heartbeat{Digest: h.Digest, Full: h.Full, Known: uint32(h.Known), Members: make([]*Member, len(h.Members))}
	for i := range h.Members {
		m := &h.Members[i]
		wire.Members[i] = &Member{
			Router:        string(m.Router.ID),
			Incarnation:   m.Router.Incarnation,
			FailureDomain: m.Router.FailureDomain,
			PeerAddress:   m.Router.PeerAddress.String(),
			CallerAddress: m.Router.CallerAddress.String(),
			Draining:      m.Router.Draining,
			Suspected:     m.Suspected,
			Counter:       m.Counter,
			Capacity:      float32(m.Router.Capacity),
		}
	}
	return wire
}

// ToHeartbeat converts a heartbeat from its wire form.
func ToHeartbeat(wire *Heartbeat) (membership.Heartbeat, error) {
	h := membership.Heartbeat{Digest: wire.Digest, Full: wire.Full, Known: int(wire.Known), Members: make([]membership.Member, len(wire.Members))}
	for i, w := range wire.Members {
		m, err := toMember(w)
		if err != nil {
			return membership.Heartbeat{}, err
		}
		h.Members[i] = m
	}
	return h, nil
}

func toMember(w *Member) (membership.Member, error) {
	if w.GetRouter() == "" {
		return membership.Member{}, fmt.Errorf("parse member: the router's name is empty")
	}
	peerAddress, err := netip.ParseAddrPort(w.PeerAddress)
	if err != nil {
		return membership.Member{}, fmt.Errorf("parse peer address of member %s: %w", w.Router, err)
	}
	callerAddress, err := netip.ParseAddrPort(w.CallerAddress)
	if err != nil {
		return membership.Member{}, fmt.Errorf("parse caller address of member %s: %w", w.Router, err)
	}
	return membership.Member{
		Router: view.Router{
			ID:            view.RouterID(w.Router),
			FailureDomain: w.FailureDomain,
			PeerAddress:   peerAddress,
			CallerAddress: callerAddress,
			Incarnation:   w.Incarnation,
			Draining:      w.Draining,
			Capacity:      toCapacity(w.Capacity),
		},
		Suspected: w.Suspected,
		Counter:   w.Counter,
	}, nil
}

// toCapacity returns the capacity that a member states. A value that is none counts as
// unknown.
func toCapacity(stated float32) float64 {
	if !(stated > 0) || math.IsInf(float64(stated), 1) {
		return 0
	}
	return float64(stated)
}
