package placement

import (
	"time"

	"hyssopreach/internal/state/lease"
	"hyssopreach/internal/state/view"
)

// Model is a model as specified in the operators' text.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// SizeBytes is the number of bytes that loading reads from the weight store.
	SizeBytes   int64
	MinReplicas int
}

// LoadedModel is a model that an engine holds, or is ordered to hold.
type LoadedModel struct {
	Name     string
	Version  string
	Adapters []string
}

// Engine is an engine of the pool with its last report.
type Engine struct {
	ID view.EndpointID
	// Slots is the number of models that the engine can hold.
	Slots         int
	ChecksFencing bool
	Leaving       bool
	Loaded        []LoadedModel
	// Running is the number of requests that the engine runs.
	Running int
	// MeasuredAt is the instant of the report; an old report is ignored.
	MeasuredAt time.Time
}

// Input is an input of a Planner.
type Input interface{ placementInput() }

// Ownership reports whether this router owns the pool and so should hold the
// lease.
type Ownership struct{ Owned bool }

// Configured replaces the pool's models as specified in the operators' text.
type Configured struct{ Models []Model }

// Demand reports how many requests for a model wait and run at a router.
type Demand struct {
	From    view.RouterID
	Model   string
	Waiting int
	Running int
}

// EngineReports replaces the reports of the pool's engines.
type EngineReports struct{ Engines []Engine }

// Record is a record of the stream of leases.
type Record struct {
	Offset   uint64
	Appended time.Time
	lease.Record
}

// Records delivers records in the order of the log. Next is the offset that the
// log would have assigned to the next record when it answered.
type Records struct {
	Records []Record
	Next    uint64
}

// OffsetTrimmed reports that the log no longer retains the requested offset, and
// which offset is the oldest that it retains.
type OffsetTrimmed struct{ Oldest uint64 }

// ReadFailed reports that a read failed.
type ReadFailed struct{}

// AppendEnded reports that an append was answered or abandoned. Whether the
// record is in the log is learnt by reading the log.
type AppendEnded struct{}

// Alarm reports that the instant of the last Wake has come.
type Alarm struct{}

func (Ownership) placementInput()     {}
func (Configured) placementInput()    {}
func (Demand) placementInput()        {}
func (EngineReports) placementInput() {}
func (Records) placementInput()       {}
func (OffsetTrimmed) placementInput() {}
func (ReadFailed) placementInput()    {}
func (AppendEnded) placementInput()   {}
func (Alarm) placementInput()         {}

// Output is an action that a Planner requests of its router.
type Output interface{ placementOutput() }

// Append requests that a record be appended to the stream of leases.
type Append struct{ Record lease.Record }

// Read requests the records from an offset on, and waits for new ones if Wait
// is set. Only one read is in progress at a time.
type Read struct {
	From uint64
	Wait bool
}

// RequestReports requests fresh reports of the pool's engines.
type RequestReports struct{}

// Withdraw requests that every router send the engine no more work for the
// models until the given instant. Without models, it cancels an earlier
// withdrawal for the engine.
type Withdraw struct {
	Engine view.EndpointID
	Models []string
	Until  time.Time
}

// Order requests that an order be sent to an engine. It must not be sent after
// NotAfter.
type Order struct {
	Engine   view.EndpointID
	Fencing  uint64
	Models   []LoadedModel
	NotAfter time.Time
}

// Wake requests an Alarm at the given instant, replacing any earlier one.
type Wake struct{ At time.Time }

// Decision requests a log line about a decision of the planner.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (Append) placementOutput()         {}
func (Read) placementOutput()           {}
func (RequestReports) placementOutput() {}
func (Withdraw) placementOutput()       {}
func (Order) placementOutput()          {}
func (Wake) placementOutput()           {}
func (Decision) placementOutput()       {}
