package execution

import (
	"net/http"
	"net/netip"
	"time"

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
}

// Address returns where the attempt is sent.
func (a *Attempt) Address() netip.AddrPort { return a.Endpoint.Address }
