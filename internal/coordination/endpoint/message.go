package endpoint

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/state/view"
)

// Configured is an endpoint as the operators' text names it.
type Configured struct {
	// Key is the endpoint's VM and name.
	Key           string
	Pool          string
	VM            string
	FailureDomain string
	Address       netip.AddrPort
	// Engine is set for a model engine, which reports its load when polled.
	Engine bool
	// Models are assumed of an engine that doesn't report what it holds; nil
	// for a plain service.
	Models []string
}

// Input is something that the table is told.
type Input interface{ endpointInput() }

// Configuration replaces the endpoints of the text.
type Configuration struct{ Endpoints []Configured }

// Routers replaces the live routers.
type Routers struct{ View *view.Snapshot }

// VM is a line of the VM list.
type VM struct {
	Name    string
	Leaving bool
}

// List is a copy of the VM list.
type List struct {
	// Version grows with each change of the list.
	Version uint64
	// AsOf is the instant at which the list was true.
	AsOf time.Time
	VMs  []VM
}

// Report is what an endpoint said of itself.
type Report struct {
	Key     string
	Started time.Time
	Leaving bool
	// Models is nil if the endpoint doesn't say what it holds.
	Models []string
}

// PollFailed says that the endpoint didn't answer a poll.
type PollFailed struct{ Key string }

// Outcome says how an attempt at the endpoint ended.
type Outcome struct {
	ID view.EndpointID
	// Failed is set if the endpoint couldn't be reached or broke off.
	Failed bool
}

// News is what a router tells others about endpoints.
type Update struct {
	// ListVersion and ListAsOf are of the sender's newest VM list.
	ListVersion uint64
	ListAsOf    time.Time
	States      []State
}

// State is one start of one endpoint as a router sees it.
type State struct {
	ID      view.EndpointID
	Leaving bool
	// Gone is set if the VM list doesn't show the endpoint's VM any more.
	Gone         bool
	EjectedUntil time.Time
	Models       []string
	// AsOf is the instant of the last change that was observed.
	AsOf time.Time
}

// Delivery is news from a peer.
type Delivery struct {
	From   view.RouterID
	Update Update
}

// Tick says that time has passed.
type Tick struct{}

func (Configuration) endpointInput() {}
func (Routers) endpointInput()       {}
func (List) endpointInput()          {}
func (Report) endpointInput()        {}
func (PollFailed) endpointInput()    {}
func (Outcome) endpointInput()       {}
func (Delivery) endpointInput()      {}
func (Tick) endpointInput()          {}

// Output is something that the table asks of its router.
type Output interface{ endpointOutput() }

// Changed carries the whole table after a change, sorted by ID.
type Changed struct{ Endpoints []view.Endpoint }

// Poll asks for a Report or a PollFailed of the endpoint.
type Poll struct {
	Key     string
	Address netip.AddrPort
	Engine  bool
}

// ReadList asks for a List.
type ReadList struct{}

// Send asks to deliver news to a router; it may be lost.
type Send struct {
	To     view.RouterID
	Update Update
}

// Decision asks for a log line about something decided here.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (Changed) endpointOutput()  {}
func (Poll) endpointOutput()     {}
func (ReadList) endpointOutput() {}
func (Send) endpointOutput()     {}
func (Decision) endpointOutput() {}

// startMark separates an endpoint's key from its start in an EndpointID.
const startMark = "#"

// NewID returns the identity of one start of an endpoint.
func NewID(key string, started time.Time) view.EndpointID {
	return view.EndpointID(key + startMark + strconv.FormatInt(started.UnixMilli(), 36))
}

// ParseID splits an identity; it returns false for one that is malformed.
func ParseID(id view.EndpointID) (key string, started time.Time, ok bool) {
	at := strings.LastIndex(string(id), startMark)
	if at < 0 {
		return "", time.Time{}, false
	}
	millis, err := strconv.ParseInt(string(id)[at+1:], 36, 64)
	return string(id)[:at], time.UnixMilli(millis), err == nil
}
