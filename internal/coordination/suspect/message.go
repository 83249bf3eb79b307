package suspect

import (
	"time"

	"hyssopreach/internal/state/view"
)

// Fingerprint identifies a feature of requests: the request itself, by a hash of
// its organisation, service, method, path and body, or one part of its prompt, by
// a hash of the service and the part. PartBit distinguishes the two.
type Fingerprint uint64

// PartBit is set in the fingerprint of a part of a prompt, and in no fingerprint
// of a request.
const PartBit Fingerprint = 1 << 63

// isPart reports whether f is the fingerprint of a part of a prompt.
func (f Fingerprint) isPart() bool { return f&PartBit != 0 }

// Evidence records that an endpoint failed while it ran a request.
type Evidence struct {
	Fingerprint Fingerprint
	Endpoint    view.EndpointID
	// Cleared is set when the evidence no longer counts against the request.
	// It is never unset.
	Cleared bool
	// At is the instant of the failure, and Until is when the evidence expires.
	At    time.Time
	Until time.Time
	// BeganAt is when the longest run that failed there had begun; zero if that is
	// unknown.
	BeganAt time.Time
}

// Message is a message between the tables of two routers.
type Message interface{ suspectMessage() }

// EvidenceUpdate carries evidence to another router.
type EvidenceUpdate struct {
	Evidence []Evidence
	// Reply requests an EvidenceAck for each piece of evidence.
	Reply bool
}

// EvidenceAck confirms that the sender has received a piece of evidence.
type EvidenceAck struct {
	Fingerprint Fingerprint
	Endpoint    view.EndpointID
}

// PermitRequest requests a permit to run a suspect from the owner of its
// fingerprint.
type PermitRequest struct {
	Fingerprint Fingerprint
	// Until is the deadline of the request; the permit expires then.
	Until time.Time
}

// PermitReply grants or denies a PermitRequest and carries the sender's evidence
// against the fingerprint.
type PermitReply struct {
	Fingerprint Fingerprint
	Granted     bool
	Evidence    []Evidence
}

// PermitRelease releases a permit.
type PermitRelease struct{ Fingerprint Fingerprint }

func (EvidenceUpdate) suspectMessage() {}
func (EvidenceAck) suspectMessage()    {}
func (PermitRequest) suspectMessage()  {}
func (PermitReply) suspectMessage()    {}
func (PermitRelease) suspectMessage()  {}

// Input is an event that a Table processes.
type Input interface{ suspectInput() }

// CheckRequest requests a decision on whether a request may run. The table
// answers with one CheckResult.
type CheckRequest struct {
	ID          uint64
	Fingerprint Fingerprint
	// Parts are the fingerprints of the parts of the prompt that other requests may
	// share.
	Parts []Fingerprint
	// Deadline is the deadline of the request. If the request cannot be judged by
	// then, the verdict is VerdictBusy.
	Deadline time.Time
}

// Withdraw cancels the CheckRequest with the same ID.
type Withdraw struct{ ID uint64 }

// EndpointFailed reports that an endpoint failed while it ran a request. The
// table answers with one BroadcastDone.
type EndpointFailed struct {
	ID          uint64
	Fingerprint Fingerprint
	// Parts is as in CheckRequest.
	Parts    []Fingerprint
	Endpoint view.EndpointID
	// BeganAt is when the run began; zero if that is unknown.
	BeganAt time.Time
}

// LateFailure reports that an endpoint failed while it ran a request that had run
// for long.
type LateFailure struct {
	Fingerprint Fingerprint
	Endpoint    view.EndpointID
}

// ListRequest requests the evidence against the requests that are rejected, for a
// router that starts. The table answers with one EvidenceList.
type ListRequest struct{ ID uint64 }

// RunEnded reports the end of a run.
type RunEnded struct {
	Fingerprint Fingerprint
	// Parts is as in CheckRequest.
	Parts []Fingerprint
	// Finished is set if the answer was complete, and Served if it was also a
	// success: an endpoint may reject a request without looking at its prompt.
	Finished bool
	Served   bool
}

// PartsServed reports parts of a prompt on which an endpoint has been answering for
// so long that they did not crash it.
type PartsServed struct{ Parts []Fingerprint }

// EndpointAlive reports that an endpoint answered a probe that was sent at
// ProbedAt and has not restarted.
type EndpointAlive struct {
	Endpoint view.EndpointID
	ProbedAt time.Time
}

// Delivery is a message from another router.
type Delivery struct {
	From    view.RouterID
	Message Message
}

// Change replaces the view of the fleet.
type Change struct{ View *view.Snapshot }

// Alarm reports that the instant of the last Wake has come.
type Alarm struct{}

func (CheckRequest) suspectInput()   {}
func (Withdraw) suspectInput()       {}
func (EndpointFailed) suspectInput() {}
func (LateFailure) suspectInput()    {}
func (ListRequest) suspectInput()    {}
func (RunEnded) suspectInput()       {}
func (PartsServed) suspectInput()    {}
func (EndpointAlive) suspectInput()  {}
func (Delivery) suspectInput()       {}
func (Change) suspectInput()         {}
func (Alarm) suspectInput()          {}

// Verdict is the decision on whether and how a request may run.
type Verdict uint8

// The verdicts.
const (
	// VerdictFree allows a run without restrictions.
	VerdictFree Verdict = iota
	// VerdictExclusive allows a run at an endpoint that runs no other suspect.
	VerdictExclusive
	// VerdictRejected rejects the request: two or more endpoints failed while they
	// ran it.
	VerdictRejected
	// VerdictBusy rejects the request for now: it is a suspect and no permit was
	// granted, or no evidence against others arrived, before its deadline.
	VerdictBusy
)

// Output is an action that a Table requests from its router.
type Output interface{ suspectOutput() }

// CheckResult answers a CheckRequest.
type CheckResult struct {
	ID      uint64
	Verdict Verdict
	// Until is when a rejection by VerdictRejected ends.
	Until time.Time
	// Part is the part for which the request is rejected; zero if it is rejected as a
	// whole.
	Part Fingerprint
}

// BroadcastDone answers an EndpointFailed: every reachable router has the
// evidence, so the failure may now be reported to the caller, who may retry.
type BroadcastDone struct{ ID uint64 }

// EvidenceList answers a ListRequest.
type EvidenceList struct {
	ID       uint64
	Evidence []Evidence
}

// Send delivers a message to another router.
type Send struct {
	To      view.RouterID
	Message Message
}

// Wake requests an Alarm at the given instant and replaces any earlier Wake.
type Wake struct{ At time.Time }

// EventPartSuspected is the event of a Decision to report evidence against a part.
const EventPartSuspected = "PartSuspected"

// Decision requests a log line about a decision of the table.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (CheckResult) suspectOutput()   {}
func (BroadcastDone) suspectOutput() {}
func (EvidenceList) suspectOutput()  {}
func (Send) suspectOutput()          {}
func (Wake) suspectOutput()          {}
func (Decision) suspectOutput()      {}
