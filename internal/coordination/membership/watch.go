package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

// rebuildRing rebuilds the ring from the live members and updates which of them
// this router watches.
func (t *Table) rebuildRing(now time.Time) {
	if !t.ringStale {
		return
	}
	t.ringStale = false
	t.ring = t.ring[:0]
	for _, m := range t.members {
		if !m.dead {
			t.ring = append(t.ring, m)
		}
	}
	slices.SortFunc(t.ring, func(a, b *member) int {
		if order := cmp.Compare(a.ringPosition, b.ringPosition); order != 0 {
			return order
		}
		return compareIDs(a.Router.ID, b.Router.ID)
	})
	watched := make(map[view.RouterID]bool)
	for _, m := range t.neighbours(-1) {
		watched[m.Router.ID] = true
		if m.watchedSince.IsZero() {
			m.watchedSince = now
		}
	}
	for _, m := range t.ring {
		if !watched[m.Router.ID] {
			m.watchedSince = time.Time{}
		}
	}
	t.scheduleViewChange(now)
}

// neighbours returns the routers that follow this one on the ring, or precede
// it if direction is -1. In a fleet of up to maxMeshSize it returns all others.
func (t *Table) neighbours(direction int) []*member {
	n := len(t.ring)
	position := slices.Index(t.ring, t.self)
	count := n - 1
	if n > maxMeshSize {
		count = successors
	}
	chosen := make([]*member, 0, count)
	for i := 1; i <= count; i++ {
		chosen = append(chosen, t.ring[(position+direction*i+n)%n])
	}
	return chosen
}

// checkDeadlines suspects the watched members that are silent, declares the
// suspected members dead whose deadline has passed, and removes dead members
// after removeDeadAfter.
func (t *Table) checkDeadlines(now time.Time) {
	var overdue, silent, expired []*member
	for _, m := range t.members {
		switch {
		case m == t.self:
		case m.dead:
			if now.Sub(m.deadAt) > removeDeadAfter {
				expired = append(expired, m)
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
			t.scheduleViewChange(now)
		}
	}
	// Sorted, because the outputs must not depend on the order of the map.
	for _, list := range [][]*member{overdue, silent, expired} {
		slices.SortFunc(list, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	}
	for _, m := range silent {
		t.suspect(now, m, string(t.options.Self.ID))
	}
	for _, m := range overdue {
		t.declareDead(now, m)
	}
	for _, m := range expired {
		delete(t.members, m.Router.ID)
	}
}

func (t *Table) isSilent(now time.Time, m *member) bool {
	if m.watchedSince.IsZero() {
		return false
	}
	since := m.watchedSince
	if m.heardAt.After(since) {
		since = m.heardAt
	}
	return now.Sub(since) > m.allowedSilence
}

// unreachable suspects a router whose connection failed, unless a heartbeat
// arrived within the last HeartbeatInterval.
func (t *Table) unreachable(now time.Time, id view.RouterID) {
	m := t.members[id]
	if m == nil || m == t.self || m.dead || m.Suspected || now.Sub(m.heardAt) < HeartbeatInterval {
		return
	}
	t.suspect(now, m, string(t.options.Self.ID))
}

// replaceVMList replaces the VM list. A suspected router whose VM is no longer
// listed is dead.
func (t *Table) replaceVMList(now time.Time, vms []VM) {
	t.vmList = make(map[string]VM, len(vms))
	for _, vm := range vms {
		t.vmList[vm.Name] = vm
	}
	for _, m := range slices.Clone(t.ring) {
		if _, listed := t.vmList[string(m.Router.ID)]; !listed && m.Suspected {
			t.declareDead(now, m)
		}
	}
	t.scheduleViewChange(now)
}

func (t *Table) drain(now time.Time) {
	if t.self.Router.Draining {
		return
	}
	t.self.Router.Draining = true
	t.queueUpdate(now, t.self)
}

// leave announces the stop of this router to the routers that watch it.
func (t *Table) leave() {
	t.self.Router.Draining = true
	t.self.Suspected = true
	heartbeat := t.newHeartbeat(nil)
	for _, m := range t.neighbours(1) {
		t.send(m, heartbeat)
	}
}

// updateDigest updates the digest after a change of the member.
func (t *Table) updateDigest(m *member) {
	t.digest ^= m.digestPart
	m.digestPart = 0
	if !m.dead {
		m.digestPart = hashMember(&m.Member)
		t.digest ^= m.digestPart
	}
}

func hashMember(m *Member) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, m.Router.ID...)
	buffer = strconv.AppendUint(append(buffer, 0), m.Router.Incarnation, 10)
	buffer = strconv.AppendUint(append(buffer, 0), m.Counter, 10)
	buffer = strconv.AppendBool(append(buffer, 0), m.Suspected)
	buffer = strconv.AppendBool(buffer, m.Router.Draining)
	return xxhash.Sum64(buffer)
}
