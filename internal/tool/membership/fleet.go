package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/tool/agenda"
)

// hop is the time that a message takes.
const hop = time.Millisecond

// frameBytes is what drpc, TCP and IP add to an envelope of one message.
const frameBytes = 60

// Node is one router of a Fleet.
type Node struct {
	ID view.RouterID
	// Up is false for a router that is stopped.
	Up bool
	// Paused routers keep their state and take no part; what reaches them
	// waits.
	Paused bool
	// Routers is the last view that the table gave out.
	Routers []view.Router
	// Changes counts the views given out, Messages and Bytes what was sent.
	Changes, Messages, Bytes int

	table       *membership.Table
	router      view.Router
	incarnation uint64
	wake        time.Time
	waiting     []entry
}

// Fleet is a number of routers, each with a membership table.
type Fleet struct {
	Now   time.Time
	Nodes []*Node
	// Cut reports whether messages from one router to another are lost; nil
	// means that none is.
	Cut func(from, to *Node) bool

	random *rand.Rand
	byPeer map[netip.AddrPort]*Node
	agenda agenda.Agenda[entry]
}

// entry is an input on its way to one start of a router.
type entry struct {
	at          time.Time
	to          *Node
	incarnation uint64
	in          membership.Input
}

// NewFleet starts routers in the given number of failure domains; the first
// three are the addresses to start from.
func NewFleet(routers, domains int, seed uint64) *Fleet {
	f := &Fleet{
		Now:    time.Unix(1e9, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		byPeer: make(map[netip.AddrPort]*Node),
	}
	for i := range routers {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		n := &Node{ID: view.RouterID(fmt.Sprintf("vm-entry-%03d", i))}
		n.router = view.Router{
			ID: n.ID, FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			PeerAddress: netip.AddrPortFrom(address, 8081), CallerAddress: netip.AddrPortFrom(address, 8080),
		}
		f.Nodes = append(f.Nodes, n)
		f.byPeer[n.router.PeerAddress] = n
	}
	for _, n := range f.Nodes {
		f.Start(n)
	}
	return f
}

// Start starts the router with empty state and a new incarnation.
func (f *Fleet) Start(n *Node) {
	n.Up = true
	n.incarnation++
	n.router.Incarnation = uint64(f.Now.UnixNano()) + n.incarnation
	var seeds []netip.AddrPort
	for _, other := range f.Nodes[:min(3, len(f.Nodes))] {
		seeds = append(seeds, other.router.PeerAddress)
	}
	n.table = membership.New(membership.Options{Self: n.router, Seeds: seeds, Random: f.random})
	n.wake = time.Time{}
	f.schedule(n, time.Duration(f.random.Int64N(int64(membership.HeartbeatInterval))), membership.VMList{VMs: f.vms()})
}

func (f *Fleet) vms() []membership.VM {
	vms := make([]membership.VM, len(f.Nodes))
	for i, n := range f.Nodes {
		vms[i].Name = string(n.ID)
	}
	return vms
}

// Stop stops the router without a goodbye.
func (f *Fleet) Stop(n *Node) { n.Up = false }

// Resume ends a pause; what has waited arrives now.
func (f *Fleet) Resume(n *Node) {
	n.Paused = false
	for _, e := range n.waiting {
		f.schedule(n, 0, e.in)
	}
	n.waiting = nil
}

// Tell gives an input to the router's table.
func (f *Fleet) Tell(n *Node, in membership.Input) { f.schedule(n, 0, in) }

func (f *Fleet) schedule(n *Node, delay time.Duration, in membership.Input) {
	at := f.Now.Add(delay)
	f.agenda.Add(at, entry{at, n, n.incarnation, in})
}

// Run lets the given time pass.
func (f *Fleet) Run(length time.Duration) {
	end := f.Now.Add(length)
	for {
		at, e, due := f.agenda.Next(end)
		if !due {
			break
		}
		f.Now = at
		_, alarm := e.in.(membership.Alarm)
		switch {
		case !e.to.Up || e.incarnation != e.to.incarnation || alarm && !e.to.wake.Equal(e.at) && !e.to.Paused:
		case e.to.Paused:
			e.to.waiting = append(e.to.waiting, e)
		default:
			f.step(e.to, e.in)
		}
	}
	f.Now = end
}

func (f *Fleet) step(n *Node, in membership.Input) {
	for _, out := range n.table.Step(f.Now, in) {
		switch out := out.(type) {
		case membership.Send:
			f.send(n, &out)
		case membership.Change:
			n.Changes++
			n.Routers = slices.Clone(out.Routers)
		case membership.Wake:
			n.wake = out.At
			f.schedule(n, out.At.Sub(f.Now), membership.Alarm{})
		}
	}
}

func (f *Fleet) send(n *Node, out *membership.Send) {
	wire := &peer.Envelope{From: string(n.ID), Incarnation: n.router.Incarnation, Messages: []*peer.Message{
		{Kind: &peer.Message_Heartbeat{Heartbeat: peer.FromHeartbeat(&out.Heartbeat)}},
	}}
	n.Messages++
	n.Bytes += proto.Size(wire) + frameBytes
	to := f.byPeer[out.Address]
	if to == nil || f.Cut != nil && f.Cut(n, to) {
		return
	}
	f.schedule(to, hop, membership.Received{From: n.ID, Heartbeat: out.Heartbeat})
}

// Agreed reports whether every running router's view lists exactly the
// running routers and suspects none.
func (f *Fleet) Agreed() bool {
	up := 0
	for _, n := range f.Nodes {
		if n.Up {
			up++
		}
	}
	for _, n := range f.Nodes {
		if !n.Up {
			continue
		}
		if len(n.Routers) != up {
			return false
		}
		for i := range n.Routers {
			if r := &n.Routers[i]; r.Suspected || !f.byPeer[r.PeerAddress].Up {
				return false
			}
		}
	}
	return true
}

// ResetCounts begins the counts of messages, bytes and changes anew.
func (f *Fleet) ResetCounts() {
	for _, n := range f.Nodes {
		n.Messages, n.Bytes, n.Changes = 0, 0, 0
	}
}

// Traffic is what one router sends.
type Traffic struct {
	// MessagesPerSecond and BytesPerSecond are means over all routers;
	// MaxBytesPerSecond is that of the busiest router.
	MessagesPerSecond, BytesPerSecond, MaxBytesPerSecond float64
}

// Traffic returns the traffic since ResetCounts, which was the given time ago.
func (f *Fleet) Traffic(over time.Duration) Traffic {
	var t Traffic
	for _, n := range f.Nodes {
		t.MessagesPerSecond += float64(n.Messages) / over.Seconds() / float64(len(f.Nodes))
		t.BytesPerSecond += float64(n.Bytes) / over.Seconds() / float64(len(f.Nodes))
		t.MaxBytesPerSecond = max(t.MaxBytesPerSecond, float64(n.Bytes)/over.Seconds())
	}
	return t
}
