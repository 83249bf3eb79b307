package account

import (
	"time"

	"hyssopreach/internal/state/view"
)

// sourceLifetime is how long a router's word that work waits, or what its
// dispatchers serve, counts without being repeated.
const sourceLifetime = 3 * time.Second

// Ledger holds the accounts of one pool's organisations.
type Ledger struct {
	accounts map[string]*entry
	served   map[view.RouterID]mark
	virtual  float64
}

// mark is a counter with the instant at which it stops counting.
type mark struct {
	value float64
	until time.Time
}

type entry struct {
	counter float64
	sources map[view.RouterID]*source
}

// source is what one router has reported of one organisation.
type source struct {
	incarnation uint64
	total       float64
	// waitingUntil is the instant until which the router is taken to have
	// work of the organisation waiting.
	waitingUntil time.Time
}

// Claim is one router's report of one organisation.
type Claim struct {
	From         view.RouterID
	Incarnation  uint64
	Organisation string
	Total        float64
	Acknowledged float64
	Tag          float64
	Waiting      bool
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*entry{}, served: map[view.RouterID]mark{}}
}

// Served takes the least counter that a router's dispatchers serve. The pool's
// virtual time is the least over the routers that serve, and never falls.
func (l *Ledger) Served(now time.Time, from view.RouterID, value float64) {
	l.served[from] = mark{value, now.Add(sourceLifetime)}
	least, known := 0.0, false
	for router, m := range l.served {
		if now.After(m.until) {
			delete(l.served, router)
			continue
		}
		if !known || m.value < least {
			least, known = m.value, true
		}
	}
	l.virtual = max(l.virtual, least)
}

// Virtual is the pool's virtual time.
func (l *Ledger) Virtual() float64 { return l.virtual }

// Take adds a router's report to the account and returns its counter.
func (l *Ledger) Take(now time.Time, c Claim) float64 {
	e := l.accounts[c.Organisation]
	if e == nil {
		e = &entry{sources: map[view.RouterID]*source{}}
		l.accounts[c.Organisation] = e
	}
	wasWaiting := e.waiting(now)
	s := e.sources[c.From]
	switch {
	case s == nil || s.incarnation != c.Incarnation:
		// The router's tag holds what an earlier holder knew.
		e.counter = max(e.counter, c.Tag) + max(0, c.Total-c.Acknowledged)
		s = &source{incarnation: c.Incarnation, total: c.Total}
		e.sources[c.From] = s
	case c.Total > s.total:
		e.counter += c.Total - s.total
		s.total = c.Total
	}
	s.waitingUntil = time.Time{}
	if c.Waiting {
		s.waitingUntil = now.Add(sourceLifetime)
		if !wasWaiting {
			e.counter = max(e.counter, l.virtual)
		}
	}
	return e.counter
}

// Counter is the organisation's counter; zero if it has no account.
func (l *Ledger) Counter(organisation string) float64 {
	if e := l.accounts[organisation]; e != nil {
		return e.counter
	}
	return 0
}

// Total is what the ledger has taken in from the router for the organisation.
func (l *Ledger) Total(organisation string, from view.RouterID) float64 {
	if e := l.accounts[organisation]; e != nil {
		if s := e.sources[from]; s != nil {
			return s.total
		}
	}
	return 0
}

// waiting reports whether any router has work of the organisation waiting.
func (e *entry) waiting(now time.Time) bool {
	for _, s := range e.sources {
		if now.Before(s.waitingUntil) {
			return true
		}
	}
	return false
}
