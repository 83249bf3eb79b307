package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// NotRun tells whether a refused request may have run.
type NotRun string

// The three answers to whether a refused request ran.
const (
	// NotRunTrue is said only when nothing of the request was ever sent to
	// an endpoint.
	NotRunTrue NotRun = "true"
	// NotRunFalse is said when the request is known to have run.
	NotRunFalse NotRun = "false"
	// NotRunUnknown is said in every other case.
	NotRunUnknown NotRun = "unknown"
)

// ContentTypeProblem is the media type of a refusal.
const ContentTypeProblem = "application/problem+json"

// Problem is a refusal, in the form of RFC 9457 with members of our own in
// Pascal case.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// NotRun tells whether the request may have run.
	NotRun NotRun
	// Step is where in the system the request was refused.
	Step string
	// RequestID finds the request in the logs.
	RequestID string
	// RetryAt is the instant from which it makes sense to try again; it is
	// also given as Retry-After.
	RetryAt time.Time `json:",omitzero"`
	// Routers are other addresses to try.
	Routers []netip.AddrPort `json:",omitempty"`
}

// Error describes the refusal.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s at step %s (status %d, NotRun %s): %s", p.Title, p.Step, p.Status, p.NotRun, p.Detail)
}

// Write sends the refusal as the whole answer.
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
	// A caller that has gone cannot be told anything more.
	_, _ = w.Write(body)
}

// retryAfterSeconds rounds up, so that a caller never comes back too early.
func retryAfterSeconds(now, at time.Time) int {
	left := at.Sub(now)
	if left <= 0 {
		return 0
	}
	return int((left + time.Second - 1) / time.Second)
}
