package membership

import (
	"cmp"
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// flapHalfLife is the time in which the count of deaths is halved.
	flapHalfLife = time.Minute
	// flapsAllowed is how many recent deaths a router may come back from
	// without being held off.
	flapsAllowed = 1.5
	// dampTime is how long a router that flaps is held off; it doubles with
	// each further death, up to maxDampTime.
	dampTime    = 10 * time.Second
	maxDampTime = 2 * time.Minute
)

// compare orders news about one router; above zero when a is newer than b.
func compare(a, b *Member) int {
	if order := cmp.Compare(a.Router.Incarnation, b.Router.Incarnation); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Counter, b.Counter); order != 0 {
		return order
	}
	if a.Suspected != b.Suspected {
		if a.Suspected {
			return 1
		}
		return -1
	}
	if a.Router.Draining != b.Router.Draining {
		if a.Router.Draining {
			return 1
		}
		return -1
	}
	return 0
}

// received merges a heartbeat's news. Its first member is the sender.
func (t *Table) received(now time.Time, in Received) {
	t.quiet = in.Heartbeat.Full
	defer func() { t.quiet = false }()
	for i := range in.Heartbeat.Members {
		n := &in.Heartbeat.Members[i]
		switch n.Router.ID {
		case t.options.Self.ID:
			t.refute(now, n)
		case in.From:
			t.hear(now, n)
		default:
			t.merge(now, n)
		}
	}
	t.help(now, in)
}

// refute answers news about this router itself.
func (t *Table) refute(now time.Time, n *Member) {
	if n.Router.Incarnation > t.self.Router.Incarnation {
		// Another process runs under this name, or an earlier start of this
		// one had a clock that ran ahead; the newer start must win.
		t.self.Router.Incarnation = n.Router.Incarnation + 1
		t.self.Counter = 0
		t.decide(EventRaised, describe(t.self)...)
		t.emit(IncarnationRaised{Incarnation: t.self.Router.Incarnation})
		t.announce(now, t.self)
		return
	}
	if n.Router.Incarnation < t.self.Router.Incarnation || n.Counter < t.self.Counter {
		return
	}
	if n.Suspected {
		t.self.Counter = n.Counter + 1
		t.announce(now, t.self)
		return
	}
	t.self.Counter = n.Counter
	t.rehash(t.self)
}

// hear takes a heartbeat that came from the router itself.
func (t *Table) hear(now time.Time, n *Member) {
	m := t.members[n.Router.ID]
	if m == nil || n.Router.Incarnation > m.Router.Incarnation {
		t.merge(now, n)
		if m = t.members[n.Router.ID]; m != nil {
			m.heard = now
		}
		return
	}
	if n.Router.Incarnation < m.Router.Incarnation {
		return
	}
	t.merge(now, n)
	m.heard = now
	m.patience = max(m.patience/2, suspectAfter)
	if m.Suspected && !n.Suspected {
		t.vouch(now, m)
	}
}

// vouch spreads that a suspected router is alive, since it is heard here.
func (t *Table) vouch(now time.Time, m *member) {
	m.Counter++
	m.Suspected = false
	t.decide(EventRefuted, "router", string(m.Router.ID), "by", string(t.options.Self.ID))
	t.revive(now, m)
	t.announce(now, m)
}

// merge takes news about another router if it is newer than what is known.
func (t *Table) merge(now time.Time, n *Member) {
	m := t.members[n.Router.ID]
	if m == nil {
		if n.Suspected {
			return // it is gone, or it will refute
		}
		m = newMember(n)
		t.members[n.Router.ID] = m
		t.decide(EventJoined, describe(m)...)
		t.stale = true
		t.announce(now, m)
		return
	}
	if compare(n, &m.Member) <= 0 {
		return
	}
	before := m.Member
	m.Member = *n
	switch {
	case n.Router.Incarnation > before.Router.Incarnation:
		t.decide(EventRestarted, describe(m)...)
		if !m.dead { // its death has been counted
			t.countFlap(now, m)
		}
		m.heard = time.Time{}
		t.revive(now, m)
	case n.Suspected && !before.Suspected:
		t.suspected(now, m, "peers")
		return
	case before.Suspected && !n.Suspected:
		t.decide(EventRefuted, "router", string(n.Router.ID), "by", "news")
		if !m.watchedFrom.IsZero() {
			// Others hear it and this router does not: be more patient.
			m.patience = min(2*m.patience, maxPatience)
		}
		t.revive(now, m)
	}
	if n.Router.Draining && !before.Router.Draining {
		t.decide(EventDraining, "router", string(n.Router.ID))
	}
	t.announce(now, m)
}

// suspected gives a router until its deadline to refute. One that hears it
// now and then vouches for it at its next heartbeat.
func (t *Table) suspected(now time.Time, m *member, by string) {
	m.Suspected = true
	m.deadAt = now.Add(deadAfter)
	t.decide(EventSuspected, "router", string(m.Router.ID), "by", by)
	t.announce(now, m)
	if m.Router.Draining {
		t.bury(now, m)
	}
}

// bury takes a suspected router for dead.
func (t *Table) bury(now time.Time, m *member) {
	if m.dead {
		return
	}
	m.dead = true
	m.deadAt = now
	m.watchedFrom = time.Time{}
	t.decide(EventDead, describe(m)...)
	t.countFlap(now, m)
	t.rehash(m)
	t.stale = true
}

// revive makes a router live again; one that flaps is held off for a while.
func (t *Table) revive(now time.Time, m *member) {
	if t.flaps(now, m) > flapsAllowed {
		hold := min(dampTime<<min(int(m.flaps), 8), maxDampTime)
		m.dampedUntil = now.Add(hold)
		t.decide(EventDamped, "router", string(m.Router.ID), "until", m.dampedUntil.UTC().Format(time.RFC3339))
	}
	m.dead = false
	m.watchedFrom = time.Time{}
	t.rehash(m)
	t.stale = true
}

func (t *Table) countFlap(now time.Time, m *member) {
	m.flaps = t.flaps(now, m) + 1
	m.flapsAt = now
}

// flaps returns the count of recent deaths as it is now.
func (t *Table) flaps(now time.Time, m *member) float64 {
	for m.flaps > 0.1 && now.Sub(m.flapsAt) >= flapHalfLife {
		m.flaps /= 2
		m.flapsAt = m.flapsAt.Add(flapHalfLife)
	}
	return m.flaps
}

// announce spreads what is known of a router.
func (t *Table) announce(now time.Time, m *member) {
	t.changedView(now)
	if !t.quiet {
		m.changed = now
		t.news[m.Router.ID] = true
		if t.forwardAt.IsZero() {
			t.forwardAt = now.Add(forwardDelay)
		}
	}
	t.rehash(m)
}

func describe(m *member) []string {
	return []string{
		"router", string(m.Router.ID), "incarnation", strconv.FormatUint(m.Router.Incarnation, 10),
		"domain", m.Router.FailureDomain,
	}
}

func compareIDs(a, b view.RouterID) int { return cmp.Compare(a, b) }
