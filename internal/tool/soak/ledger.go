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
	// runs holds the instants at which endpoints began to run the request.
	runs []time.Time
	// notRun is set once the caller got a status that states that the request
	// has not run and never will.
	notRun bool
}

// Ledger compares the requests and answers of callers with the runs at
// endpoints.
type Checker struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	requests map[string]*sentRequest
	broken   []string
	outcomes map[string]int
}

func newLedger() *Checker {
	return &Checker{requests: map[string]*sentRequest{}, outcomes: map[string]int{}}
}

// recordViolation records that a guarantee was violated.
func (l *Checker) recordViolation(guarantee, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(guarantee, fmt.Sprintf(format, values...))
}

// addViolation requires that mu is held.
func (l *Checker) addViolation(guarantee, detail string) {
	l.broken = append(l.broken, guarantee+": "+detail)
}

func (l *Checker) recordSent(req *sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[req.ID] = req
}

// recordRun records that an endpoint begins to run a request and returns the
// request, or nil if no caller has sent it.
func (l *Checker) recordRun(now time.Time, endpoint, id string, r *http.Request, body string) *sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	req := l.requests[id]
	switch {
	case req == nil:
		l.addViolation("unasked", fmt.Sprintf("endpoint %s ran request %q, which no caller sent", endpoint, id))
		return nil
	case r.Method != req.Method || r.RequestURI != req.Path || body != req.Body:
		l.addViolation("unasked", fmt.Sprintf("endpoint %s ran %s with another method, path or body than its caller sent", endpoint, id))
	case req.notRun:
		l.addViolation("refusal", fmt.Sprintf("endpoint %s ran %s after its caller got a status that rules out a run", endpoint, id))
	case len(req.runs) > 0 && req.Kind == kindOnce:
		l.addViolation("once", fmt.Sprintf("endpoint %s ran %s again, %v after its first run", endpoint, id, now.Sub(req.runs[0])))
	}
	req.runs = append(req.runs, now)
	return req
}

// recordOutcome records how a request ended.
func (l *Checker) recordOutcome(req *sentRequest, status int, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[req.Kind+" "+outcome]++
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		req.notRun = true
		if len(req.runs) > 0 && req.Kind == kindOnce {
			l.addViolation("refusal", fmt.Sprintf("%s got status %d, which rules out a run, but had run", req.ID, status))
		}
	}
}

// Report returns the violated guarantees, the number of requests of each
// outcome, and the numbers of requests and runs.
func (l *Checker) Report() (broken []string, outcomes map[string]int, requests, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes = make(map[string]int, len(l.outcomes))
	for k, n := range l.outcomes {
		outcomes[k] = n
	}
	for _, req := range l.requests {
		runs += len(req.runs)
	}
	return slices.Clone(l.broken), outcomes, len(l.requests), runs
}
