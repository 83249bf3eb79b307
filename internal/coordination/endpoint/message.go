package endpoint

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/state/view"
)

// Configured is an endpoint as the operators' configuration text states it.
type Configured struct {
	// Key is the endpoint's VM and name.
	Key           string
	Pool          string
	VM            string
	FailureDomain string
	Address       netip.AddrPort
	// Engine is set for a model engine, which reports its load when polled.
	Engine bool
	// Models are the models that an engine is assumed to hold if it doesn't
	// report them; nil for a plain service.
	Models []string
}

// Input is an event that the table processes.
type Input interface{ endpointInput() }

// Configuration replaces the configured endpoints.
type Configuration struct{ Endpoints []Configured }

// Routers replaces the live routers.
type Routers struct{ View *view.Snapshot }

// VM is an entry of the VM list.
type VM struct {
	Name    string
	Leaving bool
}

// List is a copy of the VM list.
type List struct {
	// Version grows with each change of the list.
	Version uint64
	// AsOf is the instant at which the list was current.
	AsOf time.Time
	VMs  []VM
}

// Report is an endpoint's answer to a poll.
type Report struct {
	Key     string
	Started time.Time
	Leaving bool
	// Models is nil if the endpoint doesn't report its models.
	Models []string
}

// PollFailed reports that the endpoint didn't answer a poll.
type PollFailed struct{ Key string }

// Outcome reports how an attempt to run a request at the endpoint ended.
type Outcome struct {
	ID view.EndpointID
	// Failed is set if the endpoint couldn't be reached or its answer broke
	// off.
	Failed bool
}

// Update carries the states of endpoints from one router to another.
type Update struct {
	// ListVersion and ListAsOf describe the sender's newest VM list.
	ListVersion uint64
	ListAsOf    time.Time
	States      []State
}

// State is one start of one endpoint as a router sees it.
type State struct {
	ID      view.EndpointID
	Leaving bool
	// Gone is set if the VM list no longer contains the endpoint's VM.
	Gone         bool
	EjectedUntil time.Time
	Models       []string
	// AsOf is the instant at which a router last observed a change.
	AsOf time.Time
}

// Delivery is a message from another router.
type Delivery struct {
	From   view.RouterID
	Update Update
}

// Tick triggers the periodic work that is due.
type Tick struct{}

func (Configuration) endpointInput() {}
func (Routers) endpointInput()       {}
func (List) endpointInput()          {}
func (Report) endpointInput()        {}
func (PollFailed) endpointInput()    {}
func (Outcome) endpointInput()       {}
func (Delivery) endpointInput()      {}
func (Tick) endpointInput()          {}

// Output is an action that the table requests from its router.
type Output interface{ endpointOutput() }

// Changed carries the whole table after a change, sorted by ID.
type Changed struct{ Endpoints []view.Endpoint }

// Poll requests a poll of the endpoint, answered by a Report or a PollFailed.
type Poll struct {
	Key     string
	Address netip.AddrPort
	Engine  bool
}

// ReadList requests a List.
type ReadList struct{}

// Send sends a message to another router. The message may be lost.
type Send struct {
	To     view.RouterID
	Update Update
}

// Decision requests a log line about a decision of the table.
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

// startSeparator separates an endpoint's key from its start in an EndpointID.
const startSeparator = "#"

// NewID returns the identity of one start of an endpoint.
func NewID(key string, started time.Time) view.EndpointID {
	return view.EndpointID(key + startSeparator + strconv.FormatInt(started.UnixMilli(), 36))
}

// ParseID splits an endpoint's identity into its key and start. The last result
// is false if the identity is malformed.
func ParseID(id view.EndpointID) (key string, started time.Time, ok bool) {
	at := strings.LastIndex(string(id), startSeparator)
	if at < 0 {
		return "", time.Time{}, false
	}
	millis, err := strconv.ParseInt(string(id)[at+1:], 36, 64)
	return string(id)[:at], time.UnixMilli(millis), err == nil
}
