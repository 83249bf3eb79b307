package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// sentRequest is one request of a caller.
type sentRequest struct {
	ID, Method, Path, Key, Body string
	// Kind is the first segment of the path, which selects the route.
	Kind   string
	Router int
	SentAt time.Time
	// Cause names what crashes each endpoint that runs the request, either its body or
	// a part of its prompt; empty if nothing does.
	Cause string
	// Part is the part of the request's prompt that other requests may share; empty if
	// the request declares no prompt.
	Part string
	// runs holds the instants at which endpoints began to run the request.
	runs []time.Time
	// notRun is set once the caller got a status that rules out a later run of
	// the request.
	notRun bool
}

// Checker compares the requests and answers of callers with the runs at
// endpoints.
type Checker struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	requests   map[string]*sentRequest
	violations []string
	outcomes   map[string]int
}

func newChecker() *Checker {
	return &Checker{requests: map[string]*sentRequest{}, outcomes: map[string]int{}}
}

// recordViolation records that a guarantee was violated.
func (c *Checker) recordViolation(guarantee, format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(guarantee, fmt.Sprintf(format, values...))
}

// addViolation requires that mu is held.
func (c *Checker) addViolation(guarantee, detail string) {
	c.violations = append(c.violations, guarantee+": "+detail)
}

func (c *Checker) recordSent(req *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[req.ID] = req
}

// request returns the request with the id, or nil if no caller has sent it.
func (c *Checker) request(id string) *sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// recordRun records that an endpoint begins to run a request and returns the
// request, or nil if no caller has sent it.
func (c *Checker) recordRun(now time.Time, endpoint, id string, r *http.Request, body string) *sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	switch {
	case req == nil:
		c.addViolation("unasked", fmt.Sprintf("endpoint %s ran request %q, which no caller sent", endpoint, id))
		return nil
	case r.Method != req.Method || r.RequestURI != req.Path || body != req.Body:
		c.addViolation("unasked", fmt.Sprintf("endpoint %s ran %s with another method, path or body than its caller sent", endpoint, id))
	case req.notRun:
		c.addViolation("refusal", fmt.Sprintf("endpoint %s ran %s after its caller got a status that rules out a run", endpoint, id))
	case len(req.runs) > 0 && req.Kind == kindOnce:
		c.addViolation("once", fmt.Sprintf("endpoint %s ran %s again, %v after its first run", endpoint, id, now.Sub(req.runs[0])))
	}
	req.runs = append(req.runs, now)
	return req
}

// recordOutcome records how a request ended.
func (c *Checker) recordOutcome(req *sentRequest, status int, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := req.Kind
	if req.Cause != "" {
		kind = kindCrashing
	}
	c.outcomes[kind+" "+outcome]++
	switch status {
	// These statuses state that the request will not run and, if it is not
	// idempotent, that it has not run.
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		req.notRun = true
		if len(req.runs) > 0 && req.Kind == kindOnce {
			c.addViolation("refusal", fmt.Sprintf("%s got status %d, which rules out a run, but had run", req.ID, status))
		}
	}
}

// Report returns the violated guarantees, the number of requests of each
// outcome, and the numbers of requests and runs.
func (c *Checker) Report() (violations []string, outcomes map[string]int, requests, runs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcomes = make(map[string]int, len(c.outcomes))
	for k, n := range c.outcomes {
		outcomes[k] = n
	}
	for _, req := range c.requests {
		runs += len(req.runs)
	}
	return slices.Clone(c.violations), outcomes, len(c.requests), runs
}
