package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

// refresh puts the live members on the ring and notes whom to watch.
func (t *Table) refresh(now time.Time) {
	if !t.stale {
		return
	}
	t.stale = false
	t.ring = t.ring[:0]
	for _, m := range t.members {
		if !m.dead {
			t.ring = append(t.ring, m)
		}
	}
	slices.SortFunc(t.ring, func(a, b *member) int {
		if order := cmp.Compare(a.place, b.place); order != 0 {
			return order
		}
		return compareIDs(a.Router.ID, b.Router.ID)
	})
	watched := make(map[view.RouterID]bool)
	for _, m := range t.neighbours(-1) {
		watched[m.Router.ID] = true
		if m.watchedFrom.IsZero() {
			m.watchedFrom = now
		}
	}
	for _, m := range t.ring {
		if !watched[m.Router.ID] {
			m.watchedFrom = time.Time{}
		}
	}
	t.changedView(now)
}

// neighbours returns the routers that come after this one on the ring, or
// before it when direction is -1; in a small fleet all the others.
func (t *Table) neighbours(direction int) []*member {
	n := len(t.ring)
	place := slices.Index(t.ring, t.self)
	count := n - 1
	if n > meshSize {
		count = successors
	}
	chosen := make([]*member, 0, count)
	for i := 1; i <= count; i++ {
		chosen = append(chosen, t.ring[(place+direction*i+n)%n])
	}
	return chosen
}

// watch suspects the watched that are silent, takes the suspected for dead
// whose deadline has passed, and forgets the dead after a while.
func (t *Table) watch(now time.Time) {
	var overdue, silent, forgotten []*member
	for _, m := range t.members {
		switch {
		case m == t.self:
		case m.dead:
			if now.Sub(m.deadAt) > forgetAfter {
				forgotten = append(forgotten, m)
			}
		case m.Suspected:
			if !now.Before(m.deadAt) {
				overdue = append(overdue, m)
			}
		case t.isSilent(now, m):
			silent = append(silent, m)
		}
		if !m.dampedUntil.IsZero() && !now.Before(m.dampedUntil) {
			m.dampedUntil = time.Time{}
			t.changedView(now)
		}
	}
	// Maps have no order, and the outputs must not depend on it.
	for _, list := range [][]*member{overdue, silent, forgotten} {
		slices.SortFunc(list, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	}
	for _, m := range silent {
		t.suspected(now, m, string(t.options.Self.ID))
	}
	for _, m := range overdue {
		t.bury(now, m)
	}
	for _, m := range forgotten {
		delete(t.members, m.Router.ID)
	}
}

func (t *Table) isSilent(now time.Time, m *member) bool {
	if m.watchedFrom.IsZero() {
		return false
	}
	since := m.watchedFrom
	if m.heard.After(since) {
		since = m.heard
	}
	return now.Sub(since) > m.patience
}

// unreachable begins a suspicion of a router whose connection failed, unless
// its heartbeats still come.
func (t *Table) unreachable(now time.Time, id view.RouterID) {
	m := t.members[id]
	if m == nil || m == t.self || m.dead || m.Suspected || now.Sub(m.heard) < HeartbeatInterval {
		return
	}
	t.suspected(now, m, string(t.options.Self.ID))
}

// list takes a newer VM list. A suspected router whose VM is gone is dead.
func (t *Table) list(now time.Time, vms []VM) {
	t.listed = make(map[string]VM, len(vms))
	for _, vm := range vms {
		t.listed[vm.Name] = vm
	}
	for _, m := range slices.Clone(t.ring) {
		if _, listed := t.listed[string(m.Router.ID)]; !listed && m.Suspected {
			t.bury(now, m)
		}
	}
	t.changedView(now)
}

func (t *Table) drain(now time.Time) {
	if t.self.Router.Draining {
		return
	}
	t.self.Router.Draining = true
	t.announce(now, t.self)
}

// leave says goodbye to those who watch this router and to a few others.
func (t *Table) leave() {
	t.self.Router.Draining = true
	t.self.Suspected = true
	beat := t.heartbeat(nil)
	for _, m := range t.neighbours(1) {
		t.send(m, beat)
	}
}

// rehash brings the digest up to what is known of the member.
func (t *Table) rehash(m *member) {
	t.digest ^= m.share
	m.share = 0
	if !m.dead {
		m.share = hash(&m.Member)
		t.digest ^= m.share
	}
}

func hash(m *Member) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, m.Router.ID...)
	buffer = strconv.AppendUint(append(buffer, 0), m.Router.Incarnation, 10)
	buffer = strconv.AppendUint(append(buffer, 0), m.Counter, 10)
	buffer = strconv.AppendBool(append(buffer, 0), m.Suspected)
	buffer = strconv.AppendBool(buffer, m.Router.Draining)
	return xxhash.Sum64(buffer)
}
