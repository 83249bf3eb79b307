package schedule

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

// RequestID identifies a request within one incarnation of one router.
type RequestID uint64

// Request holds the properties of a caller's request that scheduling depends
// on.
type Request struct {
	ID           RequestID
	Organisation string
	Service      string
	// Class names the class of the request, such as its route. Requests of one class
	// are about the same in kind and differ in size.
	Class string
	Pool  string
	// Model is the model with its adapter and version; empty for a plain
	// service. Only endpoints that have the model loaded are eligible.
	Model string
	// Urgency orders the requests of one organisation; higher urgency is
	// served first.
	Urgency int
	// MayWait is false for a request that must be refused if no endpoint has
	// capacity for it.
	MayWait bool
	// Estimate is a rough estimate of the cost, in units of service.
	Estimate float64
	// Deadline is the instant after which the answer is of no use.
	Deadline time.Time
	// Prefix is a hash of the prompt's prefix; zero means none.
	Prefix uint64
	// BodyBytes is the size of the body that is held in memory while the
	// request waits.
	BodyBytes int64
	// Exclusive requires an endpoint that runs no other exclusive request. It
	// is set for a request suspected of crashing endpoints.
	Exclusive bool
	// Objective is the instant by which the answer should begin; zero means
	// that only the Deadline counts.
	Objective time.Time
	// MaxPause is the longest pause between two events of the answer with which it is
	// still on time; zero if none is stated.
	MaxPause time.Duration
	// Prompt describes the prompt of a request to a model engine if the caller
	// declares it; nil for all other requests.
	Prompt *Prompt
	// Tried lists the endpoints at which earlier attempts failed.
	Tried []view.EndpointID
	// Resumes is set when the request continues an answer of which the caller
	// has already received a part. It is not refused while an endpoint may still
	// run it.
	Resumes bool
	// StillRuns is set while an earlier attempt of the request, at an endpoint that is
	// silent, may still continue. It should then not start at another endpoint that
	// is silent or being avoided.
	StillRuns bool
	// Nested marks a call made on behalf of a request in flight. It is served
	// before other requests of its organisation, since its parent occupies
	// capacity until the call is answered.
	Nested bool
}

// Underway reports whether the router has accepted the request before and has not ended
// it: it resumes an answer, or an earlier attempt of it still runs. Such requests take no
// place of a new one in a queue; their number is bounded by the attempts in flight.
func (r *Request) Underway() bool { return r.Resumes || r.StillRuns }

// Prompt describes a prompt as its caller declares it.
type Prompt struct {
	// Parts are the parts of the prompt in order. All but the last one may be
	// shared with other requests; the last one is specific to the request or
	// its session.
	Parts []PromptPart
	// InputTokens is the length of the whole prompt, and OutputTokens the
	// expected length of the answer, in tokens.
	InputTokens  int64
	OutputTokens int64
	// Identity is the same for a prompt that its caller sends again, and differs from
	// that of the organisation's other prompts; zero if it is not known.
	Identity uint64
}

// SetIdentity derives the identity from the parts, the last of which is the request's
// own, and from the lengths. It remains zero without parts.
func (p *Prompt) SetIdentity() {
	if len(p.Parts) == 0 {
		return
	}
	data := binary.LittleEndian.AppendUint64(nil, uint64(p.InputTokens))
	data = binary.LittleEndian.AppendUint64(data, uint64(p.OutputTokens))
	for _, part := range p.Parts {
		data = binary.LittleEndian.AppendUint64(data, part.ID)
		data = binary.LittleEndian.AppendUint64(data, uint64(part.Tokens))
	}
	p.Identity = max(xxhash.Sum64(data), 1)
}

// PromptPart is a part of a prompt. Other prompts may begin with the same
// part.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// SharedParts returns all parts but the last one: those that other prompts may
// share. A nil prompt has none.
func (p *Prompt) SharedParts() []PromptPart {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedPart returns the ID of the last part that other prompts may share: that of
// the last part but one, or of the only part. It is zero for a prompt without parts.
func (p *Prompt) SharedPart() uint64 {
	if n := len(p.Parts); n > 1 {
		return p.Parts[n-2].ID
	}
	return p.OwnPart()
}

// OwnPart returns the ID of the last part, which is specific to the request or its
// session; zero for a prompt without parts.
func (p *Prompt) OwnPart() uint64 {
	if n := len(p.Parts); n > 0 {
		return p.Parts[n-1].ID
	}
	return 0
}

// Input is an event that a scheduler processes.
type Input interface{ schedulerInput() }

// Arrival reports a new request, which waits until it is started or refused.
type Arrival struct{ Request Request }

// Departure reports that the caller of a waiting request has disconnected.
type Departure struct{ ID RequestID }

// Progress reports service received by a running request since the last
// report, in units of service (for example generated tokens).
type Progress struct {
	ID      RequestID
	Service float64
	// FirstToken is the time to first token: the time that the endpoint took
	// to begin its answer. The first report of a streamed answer carries it,
	// later ones may repeat it, and it is zero where it is not measured.
	FirstToken time.Duration
	// LongestGap is the longest gap between two parts of the answer since the
	// last report, and EventInterval the mean time between two events of the
	// stream.
	LongestGap    time.Duration
	EventInterval time.Duration
	// Late is set if this process ran so late that the times above say more about
	// it than about the endpoint.
	Late bool
}

// Result states how a started request ended.
type Result uint8

// The results of a started request.
const (
	// ResultFinished means that the answer is complete.
	ResultFinished Result = iota + 1
	// ResultNotSent means that nothing reached the endpoint.
	ResultNotSent
	// ResultRejected means that the endpoint itself refused the request
	// without running it, because it is full or leaving.
	ResultRejected
	// ResultBroken means that the answer ended prematurely.
	ResultBroken
	// ResultCancelled means that the caller cancelled the request.
	ResultCancelled
	// ResultFailed means that the answer is complete and reports a failure of
	// the endpoint.
	ResultFailed
	// ResultSilent means that the attempt timed out because the endpoint sent
	// nothing.
	ResultSilent
	// ResultUnused means that the router did not use the start; nothing was sent, and
	// no attempt was made to reach the endpoint.
	ResultUnused
)

var resultNames = map[Result]string{
	ResultFinished: "Finished", ResultNotSent: "NotSent", ResultRejected: "Rejected", ResultBroken: "Broken",
	ResultCancelled: "Cancelled", ResultFailed: "Failed", ResultSilent: "Silent",
	ResultUnused: "Unused",
}

// String returns the name of the result as it appears in logs.
func (r Result) String() string { return resultNames[r] }

// Completion reports that a started request has ended. Service is the service
// that it received since the last Progress, in units of service.
type Completion struct {
	ID      RequestID
	Result  Result
	Service float64
	// Elapsed is the time from Start to the end.
	Elapsed time.Duration
	// ListAge is the age of the list of endpoints if the request was not sent or its
	// answer ended prematurely; zero otherwise or if it is not known.
	ListAge time.Duration
}

// Load is the load that an endpoint reports of itself. It arrives with a lag.
type Load struct {
	Endpoint view.EndpointID
	Running  int
	Queued   int
	// MemoryUsed is the used fraction of the key-value cache, 0 to 1.
	MemoryUsed float64
	// MeasuredAt is the instant at which the endpoint took the measurement.
	MeasuredAt time.Time
}

// Delivery is a message received from the scheduler of another router.
type Delivery struct {
	From    view.RouterID
	Message Message
}

// Change replaces the view of routers, endpoints and organisations.
type Change struct{ View *view.Snapshot }

// Pause reports that an endpoint has asked this router to send it nothing until the
// given instant. Of several, the latest instant counts.
type Pause struct {
	Endpoint view.EndpointID
	Until    time.Time
}

// Rejections reports requests that the router has rejected before they reached
// the scheduler, because it has no processor time for them. The scheduler answers
// with Rates.
type Rejections struct {
	Requests []RejectedRequest
}

// ProcessorUse reports the part of this router's processor time that is in use, as
// Pulse.Busy states it.
type ProcessorUse struct{ Busy float64 }

// RejectedRequest is a request that was rejected unread.
type RejectedRequest struct {
	Organisation string
	// Work is the work of the request in the unit of OrganisationUse.
	Work float64
	// EngineMillis is the time for which the request would occupy an engine, in
	// milliseconds; 0 if it is not known.
	EngineMillis float64
	// Identity has the meaning of Prompt.Identity.
	Identity uint64
}

// Alarm reports that the instant requested by Wake has been reached.
type Alarm struct{}

func (Arrival) schedulerInput()    {}
func (Departure) schedulerInput()  {}
func (Progress) schedulerInput()   {}
func (Completion) schedulerInput() {}
func (Load) schedulerInput()       {}
func (Delivery) schedulerInput()   {}
func (Change) schedulerInput()     {}
func (Rejections) schedulerInput() {}
func (Pause) schedulerInput()      {}
func (Alarm) schedulerInput()      {}

func (ProcessorUse) schedulerInput() {}

// Output is an action that a scheduler requests from its router.
type Output interface{ schedulerOutput() }

// Start requests that the router send the request to the endpoint immediately.
type Start struct {
	ID       RequestID
	Endpoint view.EndpointID
	// Source is an endpoint that probably has more of the prompt in its cache
	// than the chosen one, which may copy it from there; empty for none.
	Source view.EndpointID
	// SendBy is the instant until which the request may be written; zero if it is not
	// limited. It is set for a request that was started at a cold endpoint.
	SendBy time.Time
	// Reason holds key=value pairs for the log line of the decision.
	Reason string
}

// Refusal requests that the router refuse a request that has not been sent.
type Refusal struct {
	ID     RequestID
	Reason RefusalReason
	// RetryAt is the earliest instant at which the caller should retry.
	RetryAt time.Time
	// Detail holds the values that led to the refusal, for the log; it may be
	// empty.
	Detail string
}

// RefusalReason states why a waiting request is refused.
type RefusalReason string

// The reasons for refusing a waiting request.
const (
	RefusalDeadline   RefusalReason = "DeadlinePassed"
	RefusalOverload   RefusalReason = "Overloaded"
	RefusalNoEndpoint RefusalReason = "NoEndpoint"
	RefusalDraining   RefusalReason = "Draining"
)

// Send requests that the router deliver a message to the scheduler of a peer.
// Delivery is neither guaranteed nor acknowledged.
type Send struct {
	To      view.RouterID
	Message Message
}

// Wake requests an Alarm at the given instant. It replaces an earlier request.
type Wake struct{ At time.Time }

// Decision requests a log line about a decision of the scheduler.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (Start) schedulerOutput()    {}
func (Refusal) schedulerOutput()  {}
func (Send) schedulerOutput()     {}
func (Wake) schedulerOutput()     {}
func (Decision) schedulerOutput() {}

// Rates states the rates of the work that organisations receive from the whole
// fleet, in the unit of OrganisationUse. The map is not changed afterwards.
type Rates struct{ Received map[string]float64 }

func (Rates) schedulerOutput() {}

// Message is a message between the schedulers of two routers. Package peer
// converts the concrete types to their wire form and back.
type Message interface{ SchedulerMessage() }

// Scheduler decides when and where waiting requests run.
type Scheduler interface {
	// Step processes one input at the given instant and returns the requested
	// actions in order. The returned slice is valid until the next call of
	// Step.
	Step(now time.Time, in Input) []Output
}
