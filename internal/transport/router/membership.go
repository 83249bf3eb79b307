package router

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/membership"
	wire "hyssopreach/internal/protocol/peer"
	platformtypes "hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
)

// leaveDelay is the time allowed for sending the last heartbeats of a planned
// stop.
const leaveDelay = 100 * time.Millisecond

// members runs the membership table of a router, which is the state machine of
// package coordination/membership.
type members struct {
	driver *driver.Driver[membership.Input, membership.Output]
	fleet  *fleet
	peers  *peers
	logger log.Interface
}

func startMembers(o membership.Options, f *fleet, p *peers, logger log.Interface) *members {
	m := &members{fleet: f, peers: p, logger: logger}
	table := membership.New(o)
	m.driver = driver.New(table.Step, membership.Input(membership.Alarm{}), m.apply)
	p.Register("Heartbeat", m.receive)
	p.links.OnRefused(m.connectionRefused)
	m.driver.Input(membership.Alarm{})
	return m
}

// Close stops the table and waits for a step that is under way.
func (m *members) Close() { m.driver.Close() }

// receiveList passes a VM list that was read to the table.
func (m *members) receiveList(list *platformtypes.VMList) {
	vms := make([]membership.VM, len(list.VMs))
	for i, vm := range list.VMs {
		vms[i] = membership.VM{Name: vm.Name, Leaving: vm.Leaving}
	}
	m.driver.Input(membership.VMList{VMs: vms})
}

// drain announces to the fleet that this router takes no new callers.
func (m *members) drain() { m.driver.Input(membership.Drain{}) }

// leave announces to the fleet that this router has stopped, and waits
// leaveDelay for the announcement to be sent.
func (m *members) leave() {
	m.driver.Input(membership.Leave{})
	time.Sleep(leaveDelay)
}

// receive handles a heartbeat from a peer.
func (m *members) receive(from view.RouterID, _ uint64, w *wire.Message) {
	heartbeat, err := wire.ToHeartbeat(w.GetHeartbeat())
	if err != nil {
		m.logger.WithField("Peer", from).WithField("Error", err).Warn("HeartbeatMalformed")
		return
	}
	m.driver.Input(membership.Received{From: from, Heartbeat: heartbeat})
}

// connectionRefused reports the routers at the address as unreachable: a refused
// connection shows that no process listens there.
func (m *members) connectionRefused(address netip.AddrPort) {
	v := m.fleet.View()
	for i := range v.Routers {
		if v.Routers[i].PeerAddress == address {
			m.driver.Input(membership.Unreachable{Router: v.Routers[i].ID})
		}
	}
}

func (m *members) apply(out membership.Output) {
	switch out := out.(type) {
	case membership.Send:
		m.peers.links.Send(out.Address, &wire.Message{Kind: &wire.Message_Heartbeat{Heartbeat: wire.FromHeartbeat(&out.Heartbeat)}})
	case membership.Change:
		m.fleet.setRouters(out.Routers)
	case membership.IncarnationRaised:
		m.peers.links.RaiseIncarnation(out.Incarnation)
	case membership.Wake:
		m.driver.WakeAt(out.At)
	case membership.Decision:
		driver.LogDecision(m.logger, out.Event, out.Fields)
	}
}
