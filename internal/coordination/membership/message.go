package membership

import (
	"net/netip"
	"time"

	"hyssopreach/internal/state/view"
)

// Member is the state of one router, as routers send it to each other.
type Member struct {
	Router view.Router
	// Counter grows whenever a suspicion is refuted, by the router itself or by
	// a router that receives its heartbeats.
	Counter uint64
	// Suspected is set for a router that may be dead; each receiver declares it
	// dead at its own deadline. A suspected member that is also draining has
	// announced its stop and is dead at once.
	Suspected bool
}

// Heartbeat is the message that routers exchange.
type Heartbeat struct {
	// Members begins with the sender.
	Members []Member
	// Digest is a hash of all live members that the sender knows.
	Digest uint64
	// Full is set when Members contains all routers that the sender knows,
	// with dead ones as suspected. The receiver does not forward these
	// members, because most of them are not new to others.
	Full bool
	// Known is the number of live members that the sender knows, itself
	// included.
	Known int
}

// Input is an event that a Table processes.
type Input interface{ membershipInput() }

// Received delivers a heartbeat. From is the sender that the message's envelope
// names.
type Received struct {
	From      view.RouterID
	Heartbeat Heartbeat
}

// Unreachable reports that a peer refused a connection or closed one. The table
// suspects the peer without waiting for missing heartbeats.
type Unreachable struct{ Router view.RouterID }

// VM is an entry of the platform's VM list.
type VM struct {
	Name    string
	Leaving bool
}

// VMList delivers a newer VM list.
type VMList struct{ VMs []VM }

// Drain reports that this router begins its planned stop.
type Drain struct{}

// Leave reports that this router stops now.
type Leave struct{}

// Alarm reports that the instant of the last Wake has come.
type Alarm struct{}

func (Received) membershipInput()    {}
func (Unreachable) membershipInput() {}
func (VMList) membershipInput()      {}
func (Drain) membershipInput()       {}
func (Leave) membershipInput()       {}
func (Alarm) membershipInput()       {}

// Output is an action that a Table requests from its router.
type Output interface{ membershipOutput() }

// Send sends a heartbeat, which may be lost. To is empty for a seed address
// whose router is not known yet.
type Send struct {
	To        view.RouterID
	Address   netip.AddrPort
	Heartbeat Heartbeat
}

// Change replaces the live routers.
type Change struct {
	// Routers are sorted by ID and include this one. A router that flaps is
	// listed as draining, so that it owns no keys until it is stable.
	Routers []view.Router
}

// IncarnationRaised reports that this router has raised its incarnation, because
// a peer has a record of a higher one. The envelopes of all later messages must
// carry the new incarnation.
type IncarnationRaised struct{ Incarnation uint64 }

// Wake requests an Alarm at the given instant and replaces any earlier Wake.
type Wake struct{ At time.Time }

// Decision requests a log line about a decision of the table.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (Send) membershipOutput()              {}
func (Change) membershipOutput()            {}
func (IncarnationRaised) membershipOutput() {}
func (Wake) membershipOutput()              {}
func (Decision) membershipOutput()          {}

// The events of Decision.
const (
	EventJoined    = "RouterJoined"
	EventRestarted = "RouterRestarted"
	EventSuspected = "RouterSuspected"
	EventRefuted   = "RouterSuspicionRefuted"
	EventDead      = "RouterDead"
	EventDraining  = "RouterDraining"
	EventDamped    = "RouterDamped"
	EventRaised    = "RouterIncarnationRaised"
	EventPaused    = "RouterWasPaused"
)
