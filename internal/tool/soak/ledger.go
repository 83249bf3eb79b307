package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ask is one request of a caller.
type ask struct {
	ID, Method, Path, Key, Body string
	// Kind is the first part of the path, which names the route.
	Kind   string
	Router int
	SentAt time.Time
	// runs are the instants at which endpoints began it.
	runs []time.Time
	// notRun is set once a caller was told that it has not run and never will.
	notRun bool
}

// Ledger compares what callers sent and got with what endpoints ran.
type Ledger struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	asks     map[string]*ask
	broken   []string
	statuses map[string]int
}

func newLedger() *Ledger {
	return &Ledger{asks: map[string]*ask{}, statuses: map[string]int{}}
}

// violate notes a broken promise.
func (l *Ledger) violate(promise, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(promise, fmt.Sprintf(format, values...))
}

// note requires that mu is held.
func (l *Ledger) note(promise, what string) {
	l.broken = append(l.broken, promise+": "+what)
}

func (l *Ledger) sent(a *ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks[a.ID] = a
}

// ran notes that an endpoint begins a request, and returns it; nil if no
// caller sent it.
func (l *Ledger) ran(now time.Time, endpoint, id string, r *http.Request, body string) *ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.asks[id]
	switch {
	case a == nil:
		l.note("unasked", fmt.Sprintf("endpoint %s ran %q, which nobody sent", endpoint, id))
		return nil
	case r.Method != a.Method || r.RequestURI != a.Path || body != a.Body:
		l.note("unasked", fmt.Sprintf("endpoint %s ran %s with another method, path or body", endpoint, id))
	case a.notRun:
		l.note("refusal", fmt.Sprintf("endpoint %s ran %s after its caller had been told that it never would", endpoint, id))
	case len(a.runs) > 0 && a.Kind == kindOnce:
		l.note("once", fmt.Sprintf("endpoint %s ran %s again, after %v", endpoint, id, now.Sub(a.runs[0])))
	}
	a.runs = append(a.runs, now)
	return a
}

// answered notes how a request ended.
func (l *Ledger) answered(a *ask, status int, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[a.Kind+" "+outcome]++
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		a.notRun = true
		if len(a.runs) > 0 && a.Kind == kindOnce {
			l.note("refusal", fmt.Sprintf("%s ended with status %d though it has run", a.ID, status))
		}
	}
}

// Report returns the broken promises and the counts of outcomes.
func (l *Ledger) Report() (broken []string, outcomes map[string]int, requests, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes = make(map[string]int, len(l.statuses))
	for k, n := range l.statuses {
		outcomes[k] = n
	}
	for _, a := range l.asks {
		runs += len(a.runs)
	}
	return slices.Clone(l.broken), outcomes, len(l.asks), runs
}
