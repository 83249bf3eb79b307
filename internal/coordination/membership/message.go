package membership

import (
	"net/netip"
	"time"

	"hyssopreach/internal/state/view"
)

// Member is news about one router.
type Member struct {
	Router view.Router
	// Counter grows whenever the router, or one that hears it, refutes a
	// suspicion.
	Counter uint64
	// Suspected members are dead at the receiver's own deadline; one that is
	// draining too has said goodbye and is dead at once.
	Suspected bool
}

// Heartbeat is what routers tell each other.
type Heartbeat struct {
	// Members begins with the sender.
	Members []Member
	// Digest is a hash of all live members that the sender knows.
	Digest uint64
	// Full is set when Members are all that the sender knows, the dead among
	// them as suspected.
	// Their news is not passed on, since most of it is old.
	Full bool
	// Known is the number of live members that the sender knows, itself
	// included.
	Known int
}

// Input is something that a Table is told.
type Input interface{ membershipInput() }

// Received is a heartbeat from a peer; the envelope names its sender.
type Received struct {
	From      view.RouterID
	Heartbeat Heartbeat
}

// Unreachable says that a peer refused a connection or broke one off. It
// begins a suspicion without waiting for heartbeats to fail.
type Unreachable struct{ Router view.RouterID }

// VM is a line of the platform's VM list.
type VM struct {
	Name    string
	Leaving bool
}

// Listed is a newer VM list.
type VMList struct{ VMs []VM }

// Drain says that this router begins its planned stop.
type Drain struct{}

// Leave says that this router stops now.
type Leave struct{}

// Alarm says that the instant asked for by Wake has come.
type Alarm struct{}

func (Received) membershipInput()    {}
func (Unreachable) membershipInput() {}
func (VMList) membershipInput()      {}
func (Drain) membershipInput()       {}
func (Leave) membershipInput()       {}
func (Alarm) membershipInput()       {}

// Output is something that a Table asks of its router.
type Output interface{ membershipOutput() }

// Send asks to send a heartbeat; it may be lost. To is empty for an address
// to start from, where it is not known yet which router listens.
type Send struct {
	To        view.RouterID
	Address   netip.AddrPort
	Heartbeat Heartbeat
}

// Change replaces the live routers.
type Change struct {
	// Routers are sorted by ID and include this one. A router that flaps is
	// listed as draining, so that it owns nothing until it stays.
	Routers []view.Router
}

// Raise says that this router's incarnation is raised, because a peer
// remembers a higher one. Envelopes have to carry it from now on.
type IncarnationRaised struct{ Incarnation uint64 }

// Wake asks for an Alarm at the given instant, replacing any earlier one.
type Wake struct{ At time.Time }

// Decision asks for a log line about something decided here.
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
