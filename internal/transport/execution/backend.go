package execution

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Answer is the answer of an endpoint to one attempt.
type Answer interface {
	Status() int
	Header() http.Header
	// Read returns io.EOF only once the answer is whole.
	Read(p []byte) (int, error)
	// Close gives up on what is left of the answer.
	Close() error
}

// Rejecting is an answer that can say that its endpoint has not run the
// attempt and never will.
type RejectionReporter interface {
	Rejected() bool
}

// Backend sends attempts to endpoints.
type Backend interface {
	// Send returns the head of the answer. An error that is, or wraps, a
	// *NotSentError proves that nothing reached the endpoint; any other error
	// leaves open whether the attempt ran.
	Send(ctx context.Context, a *Attempt) (Answer, error)
}

// NotSentError says that nothing of an attempt was sent.
type NotSentError struct{ Err error }

// Error describes why nothing was sent.
func (e *NotSentError) Error() string { return fmt.Sprintf("nothing was sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

func notSent(err error) bool {
	var n *NotSentError
	return errors.As(err, &n)
}
