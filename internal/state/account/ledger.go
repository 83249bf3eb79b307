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
	floor    float64
}

// mark is a counter with the instant at which it stops counting.
type mark struct {
	value float64
	until time.Time
}

type entry struct {
	settled float64
	// lifted is the part of settled that nobody has received.
	lifted  float64
	sources map[view.RouterID]*source
}

// source is what one router has reported of one organisation.
type source struct {
	incarnation uint64
	total       float64
	reserved    float64
	// heardUntil is the instant until which the reserve counts.
	heardUntil time.Time
	// waitingUntil is the instant until which the router is taken to have
	// work of the organisation waiting.
	waitingUntil time.Time
}

// Claim is one router's report of one organisation.
type Claim struct {
	From         view.RouterID
	Incarnation  uint64
	Organisation string
	// Total is what the router has settled since its start, and Acknowledged
	// the part of it that Settled, the holder's last answer, contains.
	Total, Acknowledged, Settled float64
	Reserved                     float64
	Waiting                      bool
}

// Standing is the answer to a claim.
type Standing struct {
	// Settled is everything that the organisation has received, and Total the
	// part of it that came through the claimant.
	Settled, Total float64
	// OthersReserved is reserved through other routers.
	OthersReserved float64
	// OthersWait says that other routers have work of the organisation.
	OthersWait bool
	// Lifted is the part of Settled that nobody has received.
	Lifted float64
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

// Raise takes the counter below which no account can be unless it was lost with
// the routers that remembered it. An account found lower is lifted there, so
// that a loss is not paid back with everybody's service since the beginning.
func (l *Ledger) Raise(floor float64) { l.floor = max(l.floor, floor) }

// Floor is the highest counter given to Raise.
func (l *Ledger) Floor() float64 { return l.floor }

// Virtual is the pool's virtual time.
func (l *Ledger) Virtual() float64 { return l.virtual }

// Take adds a router's report to the account.
func (l *Ledger) Take(now time.Time, c Claim) Standing {
	e := l.accounts[c.Organisation]
	if e == nil {
		e = &entry{sources: map[view.RouterID]*source{}}
		l.accounts[c.Organisation] = e
	}
	wasWaiting := e.waiting(now)
	s := e.sources[c.From]
	switch {
	case s == nil || s.incarnation != c.Incarnation:
		// The router remembers what an earlier holder knew.
		e.settled = max(e.settled, c.Settled) + max(0, c.Total-c.Acknowledged)
		s = &source{incarnation: c.Incarnation, total: c.Total}
		e.sources[c.From] = s
	case c.Total > s.total:
		e.settled += c.Total - s.total
		s.total = c.Total
	}
	s.reserved, s.heardUntil = c.Reserved, now.Add(sourceLifetime)
	s.waitingUntil = time.Time{}
	if c.Waiting {
		s.waitingUntil = now.Add(sourceLifetime)
	}
	if c.Waiting && !wasWaiting {
		e.settled = max(e.settled, l.virtual-e.reserved(now, ""))
	}
	if lift := l.floor - e.reserved(now, "") - e.settled; lift > 0 {
		e.settled += lift
		e.lifted += lift
	}
	return Standing{
		Settled: e.settled, Total: s.total, Lifted: e.lifted,
		OthersReserved: e.reserved(now, c.From), OthersWait: e.othersWait(now, c.From),
	}
}

// Settled is what the organisation has received; zero if it has no account.
func (l *Ledger) Settled(organisation string) float64 {
	if e := l.accounts[organisation]; e != nil {
		return e.settled
	}
	return 0
}

// reserved adds up what routers other than the given one have reserved.
func (e *entry) reserved(now time.Time, except view.RouterID) float64 {
	sum := 0.0
	for from, s := range e.sources {
		if from != except && now.Before(s.heardUntil) {
			sum += s.reserved
		}
	}
	return sum
}

func (e *entry) othersWait(now time.Time, except view.RouterID) bool {
	for from, s := range e.sources {
		if from != except && now.Before(s.waitingUntil) {
			return true
		}
	}
	return false
}

// waiting reports whether any router has work of the organisation waiting.
func (e *entry) waiting(now time.Time) bool { return e.othersWait(now, "") }
