package configuration

import (
	"time"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
)

// Input is something that a Spreader is told.
type Input interface{ configurationInput() }

// Change replaces the view of the routers.
type Change struct{ View *view.Snapshot }

// Record is a record of the log's stream revision.Stream.
type Record struct {
	Offset   uint64
	Appended time.Time
	Payload  []byte
}

// ReadResult answers a Read: records in the order of their offsets.
type ReadResult struct {
	Records []Record
	// Oldest is the lowest offset that the log keeps.
	Oldest uint64
}

// ReadFailure answers a Read that got no answer.
type ReadFailure struct{ Err error }

// AppendResult answers an Append. After an error the record may be in the
// log, or may come there later.
type AppendResult struct{ Err error }

// Offered is a peer's offer of what is in force there.
type OfferReceived struct {
	From    view.RouterID
	Version revision.Version
}

// FetchResult answers a Fetch.
type FetchResult struct {
	From    view.RouterID
	Version revision.Version
	Text    []byte
	Err     error
}

// Alarm says that the instant asked for by Wake has come.
type Alarm struct{}

func (Change) configurationInput()        {}
func (ReadResult) configurationInput()    {}
func (ReadFailure) configurationInput()   {}
func (AppendResult) configurationInput()  {}
func (OfferReceived) configurationInput() {}
func (FetchResult) configurationInput()   {}
func (Alarm) configurationInput()         {}

// Output is something that a Spreader asks of its router.
type Output interface{ configurationOutput() }

// Read asks for the records from an offset on. The log may hold the answer
// back until there is a record or ReadWait has passed. At most one Read is
// open; it is answered by ReadResult or ReadFailure.
type Read struct{ From uint64 }

// Append asks to append a payload to the stream; answered by AppendResult.
type Append struct{ Payload []byte }

// Offer asks to send a peer.ConfigurationOffer; it may be lost.
type Offer struct {
	To      view.RouterID
	Version revision.Version
}

// Fetch asks to call the peer's Fetch for at least the revision. At most one
// Fetch is open; it is answered by FetchResult.
type Fetch struct {
	From     view.RouterID
	Revision uint64
}

// InForce says that the configuration is in force here from now on.
type InForce struct{ Configuration revision.Configuration }

// Wake asks for an Alarm at the given instant, replacing any earlier one.
type Wake struct{ At time.Time }

// Decision asks for a log line about something decided here.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (Read) configurationOutput()     {}
func (Append) configurationOutput()   {}
func (Offer) configurationOutput()    {}
func (Fetch) configurationOutput()    {}
func (InForce) configurationOutput()  {}
func (Wake) configurationOutput()     {}
func (Decision) configurationOutput() {}

// The events of Decision.
const (
	EventAccepted   = "ConfigurationAccepted"
	EventLostRace   = "ConfigurationLostRace"
	EventRefused    = "ConfigurationRefused"
	EventUnjudged   = "ConfigurationUnjudged"
	EventUnreadable = "ConfigurationUnreadable"
	EventInForce    = "ConfigurationInForce"
	EventHole       = "ConfigurationHole"
	EventReader     = "ConfigurationReader"
	EventLogDown    = "ConfigurationLogDown"
	EventLogUp      = "ConfigurationLogUp"
	EventSnapshot   = "ConfigurationSnapshot"
	// EventBroken is logged as an error and counted: an invariant is broken.
	EventBroken = "InvariantBroken"
)
