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
	// maxFlaps is the count of recent deaths up to which a router that returns
	// is not damped.
	maxFlaps = 1.5
	// baseDampDuration is doubled for each recent death of a flapping router to
	// get the time for which the router is damped, that is, listed as draining.
	// maxDampDuration bounds that time.
	baseDampDuration = 10 * time.Second
	maxDampDuration  = 2 * time.Minute
)

// compare orders two states of one router. It returns a positive number if a is
// newer than b.
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

// received merges the members of a heartbeat.
func (t *Table) received(now time.Time, in Received) {
	t.suppressForward = in.Heartbeat.Full
	defer func() { t.suppressForward = false }()
	for i := range in.Heartbeat.Members {
		n := &in.Heartbeat.Members[i]
		switch n.Router.ID {
		case t.options.Self.ID:
			t.refute(now, n)
		case in.From:
			t.mergeSender(now, n)
		default:
			t.merge(now, n)
		}
	}
	t.syncPeer(now, in)
}

// refute processes a state of this router itself that another router sent.
func (t *Table) refute(now time.Time, n *Member) {
	if n.Router.Incarnation > t.self.Router.Incarnation {
		// Another process runs under this name, or an earlier start of this
		// router got a higher incarnation from a clock that was ahead. The
		// newest start must win.
		t.self.Router.Incarnation = n.Router.Incarnation + 1
		t.self.Counter = 0
		t.logDecision(EventRaised, describe(t.self)...)
		t.emit(IncarnationRaised{Incarnation: t.self.Router.Incarnation})
		t.queueUpdate(now, t.self)
		return
	}
	if n.Router.Incarnation < t.self.Router.Incarnation || n.Counter < t.self.Counter {
		return
	}
	if n.Suspected {
		t.self.Counter = n.Counter + 1
		t.queueUpdate(now, t.self)
		return
	}
	t.self.Counter = n.Counter
	t.updateDigest(t.self)
}

// mergeSender merges the sender's own state from its heartbeat.
func (t *Table) mergeSender(now time.Time, n *Member) {
	m := t.members[n.Router.ID]
	if m == nil || n.Router.Incarnation > m.Router.Incarnation {
		t.merge(now, n)
		if m = t.members[n.Router.ID]; m != nil {
			m.heardAt = now
		}
		return
	}
	if n.Router.Incarnation < m.Router.Incarnation {
		return
	}
	t.merge(now, n)
	m.heardAt = now
	m.allowedSilence = max(m.allowedSilence/2, suspectAfter)
	if m.Suspected && !n.Suspected {
		t.refuteForMember(now, m)
	}
}

// refuteForMember refutes the suspicion of a router on its behalf, because this
// router receives its heartbeats.
func (t *Table) refuteForMember(now time.Time, m *member) {
	m.Counter++
	m.Suspected = false
	t.logDecision(EventRefuted, "router", string(m.Router.ID), "by", string(t.options.Self.ID))
	t.revive(now, m)
	t.queueUpdate(now, m)
}

// merge applies a state of another router if it is newer than the known one.
func (t *Table) merge(now time.Time, n *Member) {
	m := t.members[n.Router.ID]
	if m == nil {
		if n.Suspected {
			return // the router is dead, or it will refute the suspicion
		}
		m = newMember(n)
		t.members[n.Router.ID] = m
		t.logDecision(EventJoined, describe(m)...)
		t.ringStale = true
		t.queueUpdate(now, m)
		return
	}
	if compare(n, &m.Member) <= 0 {
		return
	}
	before := m.Member
	m.Member = *n
	switch {
	case n.Router.Incarnation > before.Router.Incarnation:
		t.logDecision(EventRestarted, describe(m)...)
		if !m.dead { // the death of a dead member is counted already
			t.countFlap(now, m)
		}
		m.heardAt = time.Time{}
		t.revive(now, m)
	case n.Suspected && !before.Suspected:
		t.suspect(now, m, "peers")
		return
	case before.Suspected && !n.Suspected:
		t.logDecision(EventRefuted, "router", string(n.Router.ID), "by", "news")
		if !m.watchedSince.IsZero() {
			// Other routers receive its heartbeats and this one does not, so
			// this one waits longer before it suspects the member again.
			m.allowedSilence = min(2*m.allowedSilence, maxAllowedSilence)
		}
		t.revive(now, m)
	}
	if n.Router.Draining && !before.Router.Draining {
		t.logDecision(EventDraining, "router", string(n.Router.ID))
	}
	t.queueUpdate(now, m)
}

// suspect marks a router as suspected and sets its deadline. A router that
// still receives heartbeats from the suspected router refutes the suspicion
// when the next one arrives.
func (t *Table) suspect(now time.Time, m *member, by string) {
	m.Suspected = true
	m.deadAt = now.Add(deadAfter)
	t.logDecision(EventSuspected, "router", string(m.Router.ID), "by", by)
	t.queueUpdate(now, m)
	if m.Router.Draining {
		t.declareDead(now, m)
	}
}

// declareDead declares a suspected router dead.
func (t *Table) declareDead(now time.Time, m *member) {
	if m.dead {
		return
	}
	m.dead = true
	m.deadAt = now
	m.watchedSince = time.Time{}
	t.logDecision(EventDead, describe(m)...)
	t.countFlap(now, m)
	t.updateDigest(m)
	t.ringStale = true
}

// revive makes a router live again. A router that flaps is damped.
func (t *Table) revive(now time.Time, m *member) {
	if t.recentFlaps(now, m) > maxFlaps {
		duration := min(baseDampDuration<<min(int(m.flaps), 8), maxDampDuration)
		m.dampedUntil = now.Add(duration)
		t.logDecision(EventDamped, "router", string(m.Router.ID), "until", m.dampedUntil.UTC().Format(time.RFC3339))
	}
	m.dead = false
	m.watchedSince = time.Time{}
	t.updateDigest(m)
	t.ringStale = true
}

func (t *Table) countFlap(now time.Time, m *member) {
	m.flaps = t.recentFlaps(now, m) + 1
	m.flapsAt = now
}

// recentFlaps brings the count of recent deaths up to date and returns it.
func (t *Table) recentFlaps(now time.Time, m *member) float64 {
	for m.flaps > 0.1 && now.Sub(m.flapsAt) >= flapHalfLife {
		m.flaps /= 2
		m.flapsAt = m.flapsAt.Add(flapHalfLife)
	}
	return m.flaps
}

// queueUpdate schedules a view change after a change of the member, and queues
// the member to be forwarded unless forwarding is suppressed.
func (t *Table) queueUpdate(now time.Time, m *member) {
	t.scheduleViewChange(now)
	if !t.suppressForward {
		m.changedAt = now
		t.toForward[m.Router.ID] = true
		if t.forwardAt.IsZero() {
			t.forwardAt = now.Add(forwardDelay)
		}
	}
	t.updateDigest(m)
}

func describe(m *member) []string {
	return []string{
		"router", string(m.Router.ID), "incarnation", strconv.FormatUint(m.Router.Incarnation, 10),
		"domain", m.Router.FailureDomain,
	}
}

func compareIDs(a, b view.RouterID) int { return cmp.Compare(a, b) }
