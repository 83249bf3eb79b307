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

// messageDelay is the latency of a message between two routers.
const messageDelay = time.Millisecond

// frameBytes is the overhead of drpc, TCP and IP for an envelope of one message.
const frameBytes = 60

// Node is one router of a Fleet.
type Node struct {
	ID view.RouterID
	// Up is false for a router that is stopped.
	Up bool
	// Paused routers retain their state but handle no inputs; their inputs are
	// deferred until Resume.
	Paused bool
	// Routers is the last view that the table published.
	Routers []view.Router
	// ViewChanges counts the published views, Messages and Bytes the traffic
	// sent.
	ViewChanges, Messages, Bytes int

	table       *membership.Table
	router      view.Router
	incarnation uint64
	alarmAt     time.Time
	deferred    []pendingInput
}

// Fleet is a simulated fleet of routers, each with its own membership table.
type Fleet struct {
	Now   time.Time
	Nodes []*Node
	// Cut reports whether messages from one router to another are lost. If it
	// is nil, no messages are lost.
	Cut func(from, to *Node) bool

	random  *rand.Rand
	byPeer  map[netip.AddrPort]*Node
	pending agenda.Queue[pendingInput]
}

// pendingInput is an input for a router that is due at an instant of virtual
// time. It is dropped if the router has been restarted by then, that is, if its
// incarnation has changed.
type pendingInput struct {
	at          time.Time
	to          *Node
	incarnation uint64
	in          membership.Input
}

// NewFleet starts the given number of routers in the given number of failure
// domains. The first three routers are the seeds of all routers.
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
	n.alarmAt = time.Time{}
	f.schedule(n, time.Duration(f.random.Int64N(int64(membership.HeartbeatInterval))), membership.VMList{VMs: f.vms()})
}

func (f *Fleet) vms() []membership.VM {
	vms := make([]membership.VM, len(f.Nodes))
	for i, n := range f.Nodes {
		vms[i].Name = string(n.ID)
	}
	return vms
}

// Stop stops the router without notifying the other routers.
func (f *Fleet) Stop(n *Node) { n.Up = false }

// Resume ends a pause. The deferred inputs are delivered now, except alarms: Run
// drops them, and the table requests a new alarm with its next input.
func (f *Fleet) Resume(n *Node) {
	n.Paused = false
	for _, e := range n.deferred {
		f.schedule(n, 0, e.in)
	}
	n.deferred = nil
}

// Deliver delivers an input to the router's table.
func (f *Fleet) Deliver(n *Node, in membership.Input) { f.schedule(n, 0, in) }

func (f *Fleet) schedule(n *Node, delay time.Duration, in membership.Input) {
	at := f.Now.Add(delay)
	f.pending.Add(at, pendingInput{at, n, n.incarnation, in})
}

// Run advances the virtual time by the given length and delivers the inputs
// that become due.
func (f *Fleet) Run(length time.Duration) {
	end := f.Now.Add(length)
	for {
		at, e, due := f.pending.PopDue(end)
		if !due {
			break
		}
		f.Now = at
		_, alarm := e.in.(membership.Alarm)
		// An input is dropped if the router is stopped or has been restarted,
		// and an alarm also if a later Wake has replaced it. The inputs of a
		// paused router are deferred.
		switch {
		case !e.to.Up || e.incarnation != e.to.incarnation || alarm && !e.to.alarmAt.Equal(e.at) && !e.to.Paused:
		case e.to.Paused:
			e.to.deferred = append(e.to.deferred, e)
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
			n.ViewChanges++
			n.Routers = slices.Clone(out.Routers)
		case membership.Wake:
			n.alarmAt = out.At
			f.schedule(n, out.At.Sub(f.Now), membership.Alarm{})
		}
	}
}

func (f *Fleet) send(n *Node, out *membership.Send) {
	envelope := &peer.Envelope{From: string(n.ID), Incarnation: n.router.Incarnation, Messages: []*peer.Message{
		{Kind: &peer.Message_Heartbeat{Heartbeat: peer.FromHeartbeat(&out.Heartbeat)}},
	}}
	n.Messages++
	n.Bytes += proto.Size(envelope) + frameBytes
	to := f.byPeer[out.Address]
	if to == nil || f.Cut != nil && f.Cut(n, to) {
		return
	}
	f.schedule(to, messageDelay, membership.Received{From: n.ID, Heartbeat: out.Heartbeat})
}

// Converged reports whether every running router's view lists exactly the
// running routers and suspects none.
func (f *Fleet) Converged() bool {
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

// ResetCounts resets the counts of messages, bytes and view changes.
func (f *Fleet) ResetCounts() {
	for _, n := range f.Nodes {
		n.Messages, n.Bytes, n.ViewChanges = 0, 0, 0
	}
}

// Traffic is the membership traffic that one router sends.
type Traffic struct {
	// MessagesPerSecond and BytesPerSecond are means over all routers;
	// MaxBytesPerSecond is the rate of the router that sends most.
	MessagesPerSecond, BytesPerSecond, MaxBytesPerSecond float64
}

// Traffic returns the traffic since ResetCounts. period is the time since then.
func (f *Fleet) Traffic(period time.Duration) Traffic {
	var t Traffic
	for _, n := range f.Nodes {
		t.MessagesPerSecond += float64(n.Messages) / period.Seconds() / float64(len(f.Nodes))
		t.BytesPerSecond += float64(n.Bytes) / period.Seconds() / float64(len(f.Nodes))
		t.MaxBytesPerSecond = max(t.MaxBytesPerSecond, float64(n.Bytes)/period.Seconds())
	}
	return t
}
