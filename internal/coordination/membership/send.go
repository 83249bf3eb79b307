package membership

import (
	"net/netip"
	"slices"
	"time"
)

// sendHeartbeats sends the heartbeats of one interval. In a fleet larger than
// maxMeshSize only the heartbeat to a random router repeats recent updates.
func (t *Table) sendHeartbeats(now time.Time) {
	late := now.Sub(t.heartbeatAt)
	t.heartbeatAt = now.Add(HeartbeatInterval)
	if late < HeartbeatInterval {
		t.heartbeatAt = t.heartbeatAt.Add(-late)
	}
	withUpdates := t.newHeartbeat(t.recentMembers(now))
	heartbeat := withUpdates
	if len(t.ring) > maxMeshSize {
		heartbeat = t.newHeartbeat(nil)
	}
	targets := t.neighbours(1)
	for _, m := range targets {
		t.send(m, heartbeat)
	}
	if len(t.ring) > maxMeshSize {
		if m := t.pickRandom(t.ring, targets); m != nil {
			t.send(m, withUpdates)
		}
	}
	t.probeOutsideRing(heartbeat)
}

// unusedSeeds returns the seeds that are not the address of a live member.
func (t *Table) unusedSeeds() []netip.AddrPort {
	var unused []netip.AddrPort
	for _, seed := range t.options.Seeds {
		listens := func(m *member) bool { return m.Router.PeerAddress == seed }
		if !slices.ContainsFunc(t.ring, listens) {
			unused = append(unused, seed)
		}
	}
	return unused
}

// probeOutsideRing sends a heartbeat to one dead member whose VM may still
// exist, and to one seed that is not the address of a live member. Fleets that
// formed around different seeds find each other in this way.
func (t *Table) probeOutsideRing(heartbeat Heartbeat) {
	if seeds := t.unusedSeeds(); len(seeds) > 0 {
		seed := seeds[t.options.Random.IntN(len(seeds))]
		t.emit(Send{Address: seed, Heartbeat: heartbeat})
	}
	var dead []*member
	for _, m := range t.members {
		_, listed := t.vmList[string(m.Router.ID)]
		if m.dead && (listed || t.vmList == nil) {
			dead = append(dead, m)
		}
	}
	slices.SortFunc(dead, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	if m := t.pickRandom(dead, nil); m != nil {
		t.send(m, heartbeat)
	}
}

// pickRandom returns a random member other than this router and those in
// except, or nil if there is none.
func (t *Table) pickRandom(from, except []*member) *member {
	candidates := make([]*member, 0, len(from))
	for _, m := range from {
		if m != t.self && !slices.Contains(except, m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[t.options.Random.IntN(len(candidates))]
}

// recentMembers returns the members that changed within updateLifetime, the
// latest change first, up to maxUpdatesPerHeartbeat.
func (t *Table) recentMembers(now time.Time) []*member {
	var recent []*member
	for _, m := range t.members {
		if m != t.self && !m.changedAt.IsZero() && now.Sub(m.changedAt) < updateLifetime {
			recent = append(recent, m)
		}
	}
	slices.SortFunc(recent, func(a, b *member) int {
		if order := b.changedAt.Compare(a.changedAt); order != 0 {
			return order
		}
		return compareIDs(a.Router.ID, b.Router.ID)
	})
	return recent[:min(len(recent), maxUpdatesPerHeartbeat)]
}

// forward sends the collected updates to a few random routers once forwardDelay
// has passed. A fleet of up to maxMeshSize routers does not depend on this,
// because there the next heartbeats reach all routers.
func (t *Table) forward(now time.Time) {
	if t.forwardAt.IsZero() || now.Before(t.forwardAt) {
		return
	}
	t.forwardAt = time.Time{}
	var changed []*member
	for id := range t.toForward {
		if m := t.members[id]; m != nil && m != t.self {
			changed = append(changed, m)
		}
	}
	slices.SortFunc(changed, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	clear(t.toForward)
	heartbeat := t.newHeartbeat(changed)
	var chosen []*member
	for range forwardFanout {
		m := t.pickRandom(t.ring, chosen)
		if m == nil {
			return
		}
		chosen = append(chosen, m)
		t.send(m, heartbeat)
	}
}

// syncPeer sends known members to the sender of a heartbeat if the sender knows
// less than half as many routers as this one, or if its digest differs although
// no recent change explains the difference.
func (t *Table) syncPeer(now time.Time, in Received) {
	m := t.members[in.From]
	if m == nil || in.Heartbeat.Digest == t.digest {
		return
	}
	t.rebuildRing(now)
	if 2*in.Heartbeat.Known < len(t.ring) {
		t.sendInitialMembers(now, m)
		return
	}
	if now.Before(t.nextSyncAt) || t.changedRecently(now) {
		return
	}
	t.nextSyncAt = now.Add(syncInterval)
	t.sendFullList(now, m)
}

// sendInitialMembers sends the full list to a router that has just started. When
// many routers start at once, it sends a few random members instead, so that
// the new router gets the full list from one of these and the load is shared.
func (t *Table) sendInitialMembers(now time.Time, m *member) {
	if !now.Before(t.nextFullListAt) {
		t.nextFullListAt = now.Add(time.Duration(len(t.members)) * fullListIntervalPerMember)
		t.sendFullList(now, m)
		return
	}
	var sample []*member
	for range initialSampleSize {
		if other := t.pickRandom(t.ring, append(sample, m)); other != nil {
			sample = append(sample, other)
		}
	}
	t.send(m, t.newHeartbeat(sample))
}

// changedRecently reports whether any member changed so recently that the change
// may not have reached all routers.
func (t *Table) changedRecently(now time.Time) bool {
	for _, m := range t.members {
		if !m.changedAt.IsZero() && now.Sub(m.changedAt) < 2*HeartbeatInterval {
			return true
		}
	}
	return false
}

// sendFullList sends all known members. Dead members are included, as
// suspected, because a router that missed the suspicion would otherwise list
// them for ever.
func (t *Table) sendFullList(now time.Time, to *member) {
	t.rebuildRing(now)
	all := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	heartbeat := t.newHeartbeat(all)
	heartbeat.Full = true
	t.send(to, heartbeat)
}

// newHeartbeat returns a heartbeat with this router as the first member,
// followed by the others.
func (t *Table) newHeartbeat(others []*member) Heartbeat {
	heartbeat := Heartbeat{Digest: t.digest, Known: len(t.ring), Members: make([]Member, 1, len(others)+1)}
	heartbeat.Members[0] = t.self.Member
	for _, m := range others {
		if m != t.self {
			heartbeat.Members = append(heartbeat.Members, m.Member)
		}
	}
	return heartbeat
}

func (t *Table) send(to *member, heartbeat Heartbeat) {
	t.emit(Send{To: to.Router.ID, Address: to.Router.PeerAddress, Heartbeat: heartbeat})
}
