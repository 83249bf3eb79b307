package execution

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// Answer is an endpoint's answer to one attempt.
type Answer interface {
	Status() int
	Header() http.Header
	// Read returns io.EOF only once the complete answer has been read.
	Read(p []byte) (int, error)
	// Close discards the rest of the answer.
	Close() error
}

// RejectionReporter is implemented by answers that can state that the endpoint
// has not run the attempt and never will.
type RejectionReporter interface {
	Rejected() bool
}

// CloseDelimitedReporter is implemented by answers that may have neither a length nor
// chunks. These end with their connection, whether they are complete or not.
type CloseDelimitedReporter interface {
	CloseDelimited() bool
}

// Backend sends attempts to endpoints.
type Backend interface {
	// Send sends the attempt and returns once the head of the answer has
	// arrived. An error that is or wraps a *NotSentError proves that nothing
	// reached the endpoint; after any other error the attempt may have run.
	Send(ctx context.Context, a *Attempt) (Answer, error)
}

// SendChecker is implemented by backends that can tell whether they may send a call
// to an endpoint now.
type SendChecker interface {
	CheckSend(c *Call, id view.EndpointID) error
}

// NotSentError reports that no part of an attempt was sent.
type NotSentError struct {
	Err error
	// Withheld is set if this router could have sent the attempt and did not, which
	// says nothing about the endpoint.
	Withheld bool
}

// Error describes why nothing was sent.
func (e *NotSentError) Error() string { return fmt.Sprintf("nothing was sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

func notSent(err error) bool {
	var n *NotSentError
	return errors.As(err, &n)
}

func withheld(err error) bool {
	var n *NotSentError
	return errors.As(err, &n) && n.Withheld
}

// rejected reports whether the endpoint states that it has not run the attempt.
func rejected(c *Call, answer Answer) bool {
	if a, ok := answer.(RejectionReporter); ok {
		return a.Rejected()
	}
	return c.Class.Idempotent && meansNotRun(c, answer.Status())
}

func closeDelimited(answer Answer) bool {
	a, ok := answer.(CloseDelimitedReporter)
	return ok && a.CloseDelimited()
}

// meansNotRun reports whether the status means that the endpoint did not run
// the call: the endpoint is full, or it is an engine that no longer holds the
// model.
func meansNotRun(c *Call, status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusNotFound && c.Service.Kind == text.KindModel
}

func sendResult(ctx context.Context, err error) schedule.Result {
	switch {
	case notSent(err):
		return schedule.ResultNotSent
	case ctx.Err() != nil:
		return schedule.ResultCancelled
	default:
		return schedule.ResultBroken
	}
}

// ProcessState is what is known about the process of an endpoint.
type ProcessState uint8

// The states.
const (
	// ProcessUnknown means that neither of the others could be shown.
	ProcessUnknown ProcessState = iota
	// ProcessAlive means that the instance of the endpoint itself has answered.
	ProcessAlive
	// ProcessGone means that the host of the endpoint refuses connections to it, or that
	// another instance answers at its address.
	ProcessGone
)

// String returns the name of the state.
func (s ProcessState) String() string {
	switch s {
	case ProcessAlive:
		return "Alive"
	case ProcessGone:
		return "Gone"
	default:
		return "Unknown"
	}
}

// Prober finds out whether the process of an endpoint still runs. It distinguishes a
// crash from a connection that broke for another reason.
type Prober interface {
	// Probe returns what the answer to a question shows that was sent to the endpoint at
	// notBefore or later. It returns ProcessUnknown if there is none when the context ends.
	Probe(ctx context.Context, e *view.Endpoint, notBefore time.Time) ProcessState
}
