package schedule

import (
	"time"

	"hyssopreach/internal/state/view"
)

// RequestID names a request within one incarnation of one router.
type RequestID uint64

// Request is the part of a caller's request that decisions depend on.
type Request struct {
	ID           RequestID
	Organisation string
	Service      string
	Pool         string
	// Model is the model with its adapter and version; empty for a plain
	// service. Only endpoints that hold the model are eligible.
	Model string
	// Urgency orders requests within one organisation; higher goes first.
	Urgency int
	// MayWait is false for a request that is refused when nothing has room.
	MayWait bool
	// Estimate is a rough hint of the cost, in units of service.
	Estimate float64
	// Deadline is the instant after which the answer is of no use.
	Deadline time.Time
	// Prefix is a hash of the prompt's prefix; zero means none.
	Prefix uint64
	// BodyBytes is the memory that the waiting request holds, in bytes.
	BodyBytes int64
	// Exclusive asks for an endpoint that runs no other exclusive request;
	// it is set for a request suspected of crashing endpoints.
	Exclusive bool
	// Objective is the instant by which the answer should begin; zero means
	// that only the Deadline counts.
	Objective time.Time
	// Prompt describes the prompt of a request to a model engine that states
	// it; nil for all others.
	Prompt *Prompt
	// Tried are the endpoints at which earlier attempts failed.
	Tried []view.EndpointID
	// Resumes is set for the rest of an answer that its caller has begun to
	// get.
	Resumes bool
	// Nested marks a call made on behalf of a request that is already
	// running; it goes before its organisation's other requests, since its
	// parent holds capacity until it is answered.
	Nested bool
}

// Prompt is what a caller states of its prompt.
type Prompt struct {
	// Parts are the parts of the prompt in order. Requests share parts; the
	// last one belongs to the request or its session.
	Parts []PromptPart
	// InputTokens is the length of the whole prompt, and OutputTokens what the
	// engine is expected to generate, in tokens.
	InputTokens  int64
	OutputTokens int64
}

// PromptPart is a part of a prompt that other prompts may begin with too.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// Input is something that a scheduler is told.
type Input interface{ schedulerInput() }

// Arrival says that a request has come and waits.
type Arrival struct{ Request Request }

// Departure says that the caller of a waiting request has gone.
type Departure struct{ ID RequestID }

// Progress reports service received by a running request since the last
// report, in units of service (generated tokens, say).
type Progress struct {
	ID      RequestID
	Service float64
	// FirstToken is set with the first report: the time that the endpoint
	// took to begin its answer.
	FirstToken time.Duration
	// Pause is the longest time between two parts of the answer since the
	// last report, and Pace the mean time between two events.
	LongestGap    time.Duration
	EventInterval time.Duration
}

// Result says how a started request ended.
type Result uint8

// The results of a started request.
const (
	// ResultFinished is a whole answer.
	ResultFinished Result = iota + 1
	// ResultNotSent means that nothing reached the endpoint.
	ResultNotSent
	// ResultRejected means that the endpoint itself refused the request
	// without running it (it is full or leaving).
	ResultRejected
	// ResultBroken is an answer that broke off.
	ResultBroken
	// ResultCancelled is a request that its caller gave up.
	ResultCancelled
	// ResultFailed is a whole answer by which the endpoint says that it has
	// failed.
	ResultFailed
	// ResultSilent is an answer that was given up because nothing came.
	ResultSilent
)

var resultNames = map[Result]string{
	ResultFinished: "Finished", ResultNotSent: "NotSent", ResultRejected: "Rejected", ResultBroken: "Broken",
	ResultCancelled: "Cancelled", ResultFailed: "Failed", ResultSilent: "Silent",
}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// Completion says that a started request has ended. Service is what it
// received since the last Progress, in units of service.
type Completion struct {
	ID      RequestID
	Result  Result
	Service float64
	// Elapsed is the time from Start to the end.
	Elapsed time.Duration
}

// Load is what an endpoint says of itself, reported with a lag.
type Load struct {
	Endpoint view.EndpointID
	Running  int
	Queued   int
	// MemoryUsed is the used fraction of the key-value cache, 0 to 1.
	MemoryUsed float64
	// MeasuredAt is the instant at which the endpoint measured itself.
	MeasuredAt time.Time
}

// Delivery is a message from the scheduler of another router.
type Delivery struct {
	From    view.RouterID
	Message Message
}

// Change replaces the view of routers, endpoints and organisations.
type Change struct{ View *view.Snapshot }

// Alarm says that the instant asked for by Wake has come.
type Alarm struct{}

func (Arrival) schedulerInput()    {}
func (Departure) schedulerInput()  {}
func (Progress) schedulerInput()   {}
func (Completion) schedulerInput() {}
func (Load) schedulerInput()       {}
func (Delivery) schedulerInput()   {}
func (Change) schedulerInput()     {}
func (Alarm) schedulerInput()      {}

// Output is something that a scheduler asks of its router.
type Output interface{ schedulerOutput() }

// Start orders the router to send the request to the endpoint now.
type Start struct {
	ID       RequestID
	Endpoint view.EndpointID
	// Source is an endpoint that should hold more of the prompt than the
	// chosen one, which may copy it from there; empty for none.
	Source view.EndpointID
	// Reason is a few key=value pairs for the decision's log line.
	Reason string
}

// Refusal orders the router to refuse a request that has not been sent.
type Refusal struct {
	ID     RequestID
	Reason RefusalReason
	// RetryAt is the instant from which the caller may try again.
	RetryAt time.Time
	// Detail holds what decided it, for the log; it may be empty.
	Detail string
}

// RefusalReason tells why a waiting request is refused.
type RefusalReason string

// The reasons for refusing a waiting request.
const (
	RefusalDeadline   RefusalReason = "DeadlinePassed"
	RefusalOverload   RefusalReason = "Overloaded"
	RefusalNoEndpoint RefusalReason = "NoEndpoint"
	RefusalDraining   RefusalReason = "Draining"
)

// Send asks the router to deliver a message to the scheduler of a peer.
// Delivery is neither certain nor acknowledged.
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

func (Start) schedulerOutput()    {}
func (Refusal) schedulerOutput()  {}
func (Send) schedulerOutput()     {}
func (Wake) schedulerOutput()     {}
func (Decision) schedulerOutput() {}

// Message is a message between the schedulers of two routers. Package peer
// converts the concrete types to their wire form and back.
type Message interface{ SchedulerMessage() }

// Scheduler decides when and where waiting requests run.
type Scheduler interface {
	// Step takes one input at the given instant and returns what is to be
	// done, in order. The returned slice is valid until the next Step.
	Step(now time.Time, in Input) []Output
}
