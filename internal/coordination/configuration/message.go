package configuration

import (
	"time"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
)

// Input is an event that a Distributor processes.
type Input interface{ configurationInput() }

// Change replaces the view of the fleet.
type Change struct{ View *view.Snapshot }

// Record is a record of the log's stream revision.Stream.
type Record struct {
	Offset   uint64
	Appended time.Time
	Payload  []byte
}

// ReadResult answers a Read with records in the order of their offsets.
type ReadResult struct {
	Records []Record
	// Oldest is the lowest offset that the log holds.
	Oldest uint64
}

// ReadFailure answers a Read that failed.
type ReadFailure struct{ Err error }

// AppendResult answers an Append. After an error the record may still be in
// the log, or may be appended later.
type AppendResult struct{ Err error }

// OfferReceived delivers a peer's offer of the version in force there.
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

// Alarm reports that the instant of the last Wake has come.
type Alarm struct{}

func (Change) configurationInput()        {}
func (ReadResult) configurationInput()    {}
func (ReadFailure) configurationInput()   {}
func (AppendResult) configurationInput()  {}
func (OfferReceived) configurationInput() {}
func (FetchResult) configurationInput()   {}
func (Alarm) configurationInput()         {}

// Output is an action that a Distributor requests from its router.
type Output interface{ configurationOutput() }

// Read requests the records from an offset on. The log may delay the answer
// until there is a record or ReadWait has passed. At most one Read is in
// flight. It is answered by ReadResult or ReadFailure.
type Read struct{ From uint64 }

// Append requests that a payload be appended to the stream. It is answered by
// AppendResult.
type Append struct{ Payload []byte }

// Offer sends a peer.ConfigurationOffer, which may be lost.
type Offer struct {
	To      view.RouterID
	Version revision.Version
}

// Fetch requests that the configuration in force at the peer From be fetched by
// RPC; it should have at least the given revision. At most one Fetch is in
// flight. It is answered by FetchResult.
type Fetch struct {
	From     view.RouterID
	Revision uint64
}

// InForce reports that the configuration is in force at this router from now
// on.
type InForce struct{ Configuration revision.Configuration }

// Wake requests an Alarm at the given instant and replaces any earlier Wake.
type Wake struct{ At time.Time }

// Decision requests a log line about a decision of the Distributor.
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
	// EventBroken reports a violated invariant. It is logged as an error and
	// counted.
	EventBroken = "InvariantBroken"
)
