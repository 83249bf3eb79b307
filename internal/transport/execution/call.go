package execution

import (
	"net/http"
	"net/netip"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// Call is a caller's request that has been admitted.
type Call struct {
	// RequestID names the call in logs.
	RequestID    string
	Organisation *text.Organisation
	Service      *text.Service
	Class        *text.Class
	// Model, Prefix and Stream are set for calls to a model.
	Model  string
	Prefix uint64
	Stream bool
	// Host is the host that the caller asked for; empty stands for the
	// endpoint's address.
	Host string
	// AttemptID is the id under which endpoints know the call; empty lets each
	// attempt have its own.
	AttemptID string
	// Prompt is what the caller states of its prompt; nil if it states nothing.
	Prompt *schedule.Prompt
	// Objective is the instant by which the answer should begin; zero if only
	// the deadline counts.
	Objective time.Time
	// MaxAttempts bounds the endpoints that get the call; zero leaves that to
	// the runner.
	MaxAttempts int
	// Events is set for an answer that is a series of events with ids, which
	// are passed on one by one as they come.
	Events bool
	// Resumable is set if such a series may be continued at another endpoint.
	Resumable bool
	// LastEvent is the id of the last event that the caller has; empty if it
	// has none.
	LastEvent string
	// Silence bounds the time without any byte from an endpoint after which
	// the call goes on at another one; zero waits until the deadline.
	MaxSilence time.Duration
	// RetryFailures is set if an answer by which an endpoint says that it has
	// failed is worth another attempt.
	RetryServerErrors bool
	// Key is the caller's idempotency key; empty if there is none.
	Key string
	// Parent is the call on whose behalf this one is made; empty if none.
	Parent string
	// Urgency orders the organisation's requests; higher goes first.
	Urgency int
	// Deadline is the instant after which the answer is of no use.
	Deadline time.Time
	Method   string
	// Path is what the endpoint is asked for, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Exclusive is set for a request suspected of crashing endpoints.
	Exclusive bool
	// Fingerprint stands for the organisation and the body; zero until it is
	// needed.
	Fingerprint uint64
}

// Attempt is one try to run a call at one endpoint.
type Attempt struct {
	// ID is unique; the endpoint repeats it in its answer.
	ID       string
	Endpoint view.Endpoint
	Call     *Call
	// LastEvent is the id of the last event that the caller has; empty if it
	// has none.
	LastEvent string
}

// Address returns where the attempt is sent.
func (a *Attempt) Address() netip.AddrPort { return a.Endpoint.Address }
