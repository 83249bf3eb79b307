package account

import (
	"time"

	"hyssopreach/internal/state/view"
)

// ledgerReportLifetime is how long a router's report of its reserve, of waiting
// requests, or of the lowest counter that its dispatchers serve, remains valid
// without being repeated.
const ledgerReportLifetime = 3 * time.Second

// Ledger holds the accounts of one pool's organisations.
type Ledger struct {
	accounts      map[string]*account
	servedReports map[view.RouterID]servedReport
	virtualTime   float64
	floor         float64
}

// servedReport is the lowest counter that a router's dispatchers serve, with
// the time at which the report expires.
type servedReport struct {
	counter   float64
	expiresAt time.Time
}

type account struct {
	settled float64
	// lifted is the part of settled that was added to raise the account to the
	// floor and does not stand for service.
	lifted  float64
	routers map[view.RouterID]*routerState
}

// routerState is the state that one router has reported for one organisation.
type routerState struct {
	incarnation uint64
	total       float64
	reserved    float64
	// reservedUntil is the time until which the reserve is valid.
	reservedUntil time.Time
	// waitingUntil is the time until which the router is assumed to have
	// waiting requests of the organisation.
	waitingUntil time.Time
}

// Report is one router's report on one organisation.
type Report struct {
	From         view.RouterID
	Incarnation  uint64
	Organisation string
	// Total is the service that the router has settled since its start. Settled
	// is the balance in the holder's last answer, and Acknowledged the part of
	// Total that this balance includes.
	Total, Acknowledged, Settled float64
	Reserved                     float64
	Waiting                      bool
}

// Balance is the holder's answer to a Report: the state of the organisation's
// account.
type Balance struct {
	// Settled is the balance of the account, and Total the part of it that the
	// reporting router has settled since its start.
	Settled, Total float64
	// OthersReserved is the sum of the reserves of the other routers.
	OthersReserved float64
	// OthersWait is set if other routers have waiting requests of the
	// organisation.
	OthersWait bool
	// Lifted is the part of Settled that was added to raise the account to the
	// floor and does not stand for service.
	Lifted float64
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*account{}, servedReports: map[view.RouterID]servedReport{}}
}

// UpdateServed records the lowest counter that a router's dispatchers serve.
// The pool's virtual time is the lowest of all valid records, and never
// decreases.
func (l *Ledger) UpdateServed(now time.Time, from view.RouterID, counter float64) {
	l.servedReports[from] = servedReport{counter, now.Add(ledgerReportLifetime)}
	lowest, found := 0.0, false
	for router, r := range l.servedReports {
		if now.After(r.expiresAt) {
			delete(l.servedReports, router)
			continue
		}
		if !found || r.counter < lowest {
			lowest, found = r.counter, true
		}
	}
	l.virtualTime = max(l.virtualTime, lowest)
}

// RaiseFloor raises the floor. An account can be below the floor only if it was
// lost together with the routers that retained its balance; Apply raises it to
// the floor. Otherwise the organisation would have priority until it had caught
// up with the service that all others have received since the start.
func (l *Ledger) RaiseFloor(floor float64) { l.floor = max(l.floor, floor) }

// Floor returns the highest counter passed to RaiseFloor.
func (l *Ledger) Floor() float64 { return l.floor }

// VirtualTime returns the pool's virtual time.
func (l *Ledger) VirtualTime() float64 { return l.virtualTime }

// Apply applies a router's report to the organisation's account and returns the
// resulting state. If the organisation had no waiting requests and the report
// states that it has some now, its counter, reserves included, is raised to the
// pool's virtual time. A counter below the floor is raised to the floor; only
// this second amount is included in Balance.Lifted.
func (l *Ledger) Apply(now time.Time, r Report) Balance {
	a := l.accounts[r.Organisation]
	if a == nil {
		a = &account{routers: map[view.RouterID]*routerState{}}
		l.accounts[r.Organisation] = a
	}
	wasWaiting := a.waiting(now)
	s := a.routers[r.From]
	switch {
	case s == nil || s.incarnation != r.Incarnation:
		// The report carries the balance that an earlier holder acknowledged.
		a.settled = max(a.settled, r.Settled) + max(0, r.Total-r.Acknowledged)
		s = &routerState{incarnation: r.Incarnation, total: r.Total}
		a.routers[r.From] = s
	case r.Total > s.total:
		a.settled += r.Total - s.total
		s.total = r.Total
	}
	s.reserved, s.reservedUntil = r.Reserved, now.Add(ledgerReportLifetime)
	s.waitingUntil = time.Time{}
	if r.Waiting {
		s.waitingUntil = now.Add(ledgerReportLifetime)
	}
	if r.Waiting && !wasWaiting {
		a.settled = max(a.settled, l.virtualTime-a.reserved(now, ""))
	}
	if lift := l.floor - a.reserved(now, "") - a.settled; lift > 0 {
		a.settled += lift
		a.lifted += lift
	}
	return Balance{
		Settled: a.settled, Total: s.total, Lifted: a.lifted,
		OthersReserved: a.reserved(now, r.From), OthersWait: a.othersWait(now, r.From),
	}
}

// Settled returns the balance of the organisation's account; zero if it has no
// account.
func (l *Ledger) Settled(organisation string) float64 {
	if a := l.accounts[organisation]; a != nil {
		return a.settled
	}
	return 0
}

// reserved returns the sum of the valid reserves of all routers but the given
// one.
func (a *account) reserved(now time.Time, except view.RouterID) float64 {
	sum := 0.0
	for from, s := range a.routers {
		if from != except && now.Before(s.reservedUntil) {
			sum += s.reserved
		}
	}
	return sum
}

// othersWait reports whether a router other than the given one has waiting
// requests of the organisation.
func (a *account) othersWait(now time.Time, except view.RouterID) bool {
	for from, s := range a.routers {
		if from != except && now.Before(s.waitingUntil) {
			return true
		}
	}
	return false
}

// waiting reports whether any router has waiting requests of the organisation.
func (a *account) waiting(now time.Time) bool { return a.othersWait(now, "") }
