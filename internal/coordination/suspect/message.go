package suspect

import (
	"time"

	"hyssopreach/internal/state/view"
)

// Fingerprint stands for an organisation and the body of a request.
type Fingerprint uint64

// Evidence says that an endpoint failed under a request.
type Evidence struct {
	Fingerprint Fingerprint
	Endpoint    view.EndpointID
	// Cleared is set when the evidence turned out to prove nothing; that
	// cannot be taken back.
	Cleared bool
	// At is the instant of the failure and Until the end of its effect.
	At    time.Time
	Until time.Time
}

// Message is a message between the tables of two routers.
type Message interface{ suspectMessage() }

// News spreads evidence.
type EvidenceUpdate struct {
	Evidence []Evidence
	// Reply asks for a Taken for each piece of it.
	Reply bool
}

// Taken answers News: this evidence is known here.
type EvidenceAck struct {
	Fingerprint Fingerprint
	Endpoint    view.EndpointID
}

// Ask asks the owner of a fingerprint for a permit to run a suspect.
type PermitRequest struct {
	Fingerprint Fingerprint
	// Until is the instant after which the permit is of no use.
	Until time.Time
}

// Permit answers an Ask, with what its sender knows of the fingerprint.
type PermitReply struct {
	Fingerprint Fingerprint
	Granted     bool
	Evidence    []Evidence
}

// Done gives a permit back.
type PermitRelease struct{ Fingerprint Fingerprint }

func (EvidenceUpdate) suspectMessage() {}
func (EvidenceAck) suspectMessage()    {}
func (PermitRequest) suspectMessage()  {}
func (PermitReply) suspectMessage()    {}
func (PermitRelease) suspectMessage()  {}

// Input is something that a Table is told.
type Input interface{ suspectInput() }

// Judge asks whether a request may run. It is answered by one Judged.
type CheckRequest struct {
	ID          uint64
	Fingerprint Fingerprint
	// Deadline is the instant after which the request is of no use.
	Deadline time.Time
}

// Withdraw says that nobody waits for the answer to a Judge any more.
type Withdraw struct{ ID uint64 }

// Broken says that an endpoint failed under a request. It is answered by one
// Told.
type EndpointFailed struct {
	ID          uint64
	Fingerprint Fingerprint
	Endpoint    view.EndpointID
}

// Ended says that a run has ended; Finished is set if its answer was whole.
type RunEnded struct {
	Fingerprint Fingerprint
	Finished    bool
}

// Alive says that an endpoint answered a question asked at the given instant
// and is still the same start.
type EndpointAlive struct {
	Endpoint view.EndpointID
	ProbedAt time.Time
}

// Delivery is a message from another router.
type Delivery struct {
	From    view.RouterID
	Message Message
}

// Change replaces the view of the routers.
type Change struct{ View *view.Snapshot }

// Alarm says that the instant asked for by Wake has come.
type Alarm struct{}

func (CheckRequest) suspectInput()   {}
func (Withdraw) suspectInput()       {}
func (EndpointFailed) suspectInput() {}
func (RunEnded) suspectInput()       {}
func (EndpointAlive) suspectInput()  {}
func (Delivery) suspectInput()       {}
func (Change) suspectInput()         {}
func (Alarm) suspectInput()          {}

// Verdict says whether and how a request may run.
type Verdict uint8

// The verdicts.
const (
	// VerdictFree allows a run like any other.
	VerdictFree Verdict = iota
	// VerdictAlone allows a run at an endpoint with no other suspect.
	VerdictAlone
	// VerdictConvicted forbids a run: two endpoints failed under it.
	VerdictRejected
	// VerdictBusy forbids a run: the request is a suspect and no permit came
	// in time.
	VerdictBusy
)

// Output is something that a Table asks of its router.
type Output interface{ suspectOutput() }

// Judged answers a Judge.
type CheckResult struct {
	ID      uint64
	Verdict Verdict
	// Until is the instant at which a conviction ends.
	Until time.Time
}

// Told answers a Broken: every router that can be reached knows the evidence,
// so that the caller may learn of the failure and try again.
type BroadcastDone struct{ ID uint64 }

// Send delivers a message to another router.
type Send struct {
	To      view.RouterID
	Message Message
}

// Wake asks for an Alarm at the given instant, replacing any earlier one.
type Wake struct{ At time.Time }

// Decision asks for a log line about something decided here.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (CheckResult) suspectOutput()   {}
func (BroadcastDone) suspectOutput() {}
func (Send) suspectOutput()          {}
func (Wake) suspectOutput()          {}
func (Decision) suspectOutput()      {}
