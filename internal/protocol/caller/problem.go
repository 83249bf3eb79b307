package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// NotRun states whether a refused request may have run.
type NotRun string

// The values of NotRun.
const (
	// NotRunTrue means that no part of the request was ever sent to an
	// endpoint.
	NotRunTrue NotRun = "true"
	// NotRunFalse means that the request is known to have run.
	NotRunFalse NotRun = "false"
	// NotRunUnknown is used in every other case.
	NotRunUnknown NotRun = "unknown"
)

// ContentTypeProblem is the media type of a refusal.
const ContentTypeProblem = "application/problem+json"

// Problem is a refusal in the format of RFC 9457. Extension members are in
// Pascal case.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// NotRun states whether the request may have run.
	NotRun NotRun
	// Step is the processing step at which the request was refused.
	Step string
	// RequestID identifies the request in the logs.
	RequestID string
	// RetryAt is the earliest instant at which a retry makes sense. It is also
	// sent as Retry-After.
	RetryAt time.Time `json:",omitzero"`
	// Routers lists other addresses to try.
	Routers []netip.AddrPort `json:",omitempty"`
}

// Error describes the refusal.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s at step %s (status %d, NotRun %s): %s", p.Title, p.Step, p.Status, p.NotRun, p.Detail)
}

// ProvenStatus returns the status for callers that take 503, or a status below 500, as
// a promise that the request has not run and never will: one of these if that is known,
// and no other.
func (p *Problem) ProvenStatus() int {
	notRun := p.NotRun == NotRunTrue
	switch {
	case notRun && p.Status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case !notRun && (p.Status < http.StatusInternalServerError || p.Status == http.StatusServiceUnavailable):
		return http.StatusBadGateway
	default:
		return p.Status
	}
}

// Write writes the refusal as the HTTP response.
func (p *Problem) Write(w http.ResponseWriter, now time.Time) {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, p.Title, p.Status)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentTypeProblem)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if !p.RetryAt.IsZero() {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(now, p.RetryAt)))
	}
	w.WriteHeader(p.Status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// retryAfterSeconds returns the seconds until the instant, rounded up so that
// no caller retries too early.
func retryAfterSeconds(now, at time.Time) int {
	left := at.Sub(now)
	if left <= 0 {
		return 0
	}
	return int((left + time.Second - 1) / time.Second)
}
