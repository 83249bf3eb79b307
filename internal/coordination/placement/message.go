package placement

import (
	"time"

	"hyssopreach/internal/state/lease"
	"hyssopreach/internal/state/view"
)

// Model is a model as the operators' text wants it.
type Model struct {
	Name     string
	Version  string
	Adapters []string
	// SizeBytes is what loading costs the weight store.
	SizeBytes   int64
	MinReplicas int
}

// Loaded is a model that an engine holds.
type LoadedModel struct {
	Name     string
	Version  string
	Adapters []string
}

// Engine is an engine of the pool with what it last reported.
type Engine struct {
	ID view.EndpointID
	// Slots is the number of models that it can hold.
	Slots         int
	ChecksFencing bool
	Leaving       bool
	Loaded        []LoadedModel
	// Running is the number of requests that it runs.
	Running int
	// MeasuredAt is the instant of the report; an old one is not acted on.
	MeasuredAt time.Time
}

// Input is something that a Planner is told.
type Input interface{ placementInput() }

// Own says whether this router owns the pool and so should hold the lease.
type Ownership struct{ Owned bool }

// Configured replaces what the operators' text says of the pool.
type Configured struct{ Models []Model }

// Demand says how many requests for a model wait and run at a router.
type Demand struct {
	From    view.RouterID
	Model   string
	Waiting int
	Running int
}

// Reported replaces what is known of the engines of the pool.
type EngineReports struct{ Engines []Engine }

// Record is a record of the stream of leases.
type Record struct {
	Offset   uint64
	Appended time.Time
	lease.Record
}

// Records brings records in the order of the log. Next is the offset that the
// next appended record would have got when the log answered.
type Records struct {
	Records []Record
	Next    uint64
}

// Gone says that the wanted offset is no longer kept, and which is the oldest
// that is.
type OffsetTrimmed struct{ Oldest uint64 }

// ReadFailed says that a read brought nothing.
type ReadFailed struct{}

// AppendEnded says that an append was answered or given up; what became of it
// is read from the log.
type AppendEnded struct{}

// Alarm says that the instant asked for by Wake has come.
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

// Output is something that a Planner asks of its router.
type Output interface{ placementOutput() }

// Append asks for a record to be appended to the stream of leases.
type Append struct{ Record lease.Record }

// Read asks for the records from an offset on, waiting for them if Wait is
// set; only one is under way at a time.
type Read struct {
	From uint64
	Wait bool
}

// Survey asks for fresh reports of the pool's engines.
type RequestReports struct{}

// Withdraw asks every router to send an engine no more work for the models, up
// to the instant. Without models it takes an earlier one back.
type Withdraw struct {
	Engine view.EndpointID
	Models []string
	Until  time.Time
}

// Order asks for an order to be given to an engine. It must not be sent after
// NotAfter.
type Order struct {
	Engine   view.EndpointID
	Fencing  uint64
	Models   []LoadedModel
	NotAfter time.Time
}

// Wake asks for an Alarm at the given instant, replacing any earlier one.
type Wake struct{ At time.Time }

// Decision asks for a log line about something decided here.
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
