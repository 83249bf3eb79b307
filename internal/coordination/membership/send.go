package membership

import (
	"net/netip"
	"slices"
	"time"
)

// beat sends this interval's heartbeats.
func (t *Table) beat(now time.Time) {
	late := now.Sub(t.beatAt)
	t.beatAt = now.Add(HeartbeatInterval)
	if late < HeartbeatInterval {
		t.beatAt = t.beatAt.Add(-late)
	}
	news := t.heartbeat(t.recent(now))
	beat := news
	if len(t.ring) > meshSize {
		beat = t.heartbeat(nil)
	}
	targets := t.neighbours(1)
	for _, m := range targets {
		t.send(m, beat)
	}
	if len(t.ring) > meshSize {
		if m := t.pick(t.ring, targets); m != nil {
			t.send(m, news)
		}
	}
	t.probe(beat)
}

// strangers are the addresses to start from at which no live member listens.
func (t *Table) strangers() []netip.AddrPort {
	var strangers []netip.AddrPort
	for _, seed := range t.options.Seeds {
		known := func(m *member) bool { return m.Router.PeerAddress == seed }
		if !slices.ContainsFunc(t.ring, known) {
			strangers = append(strangers, seed)
		}
	}
	return strangers
}

// probe looks for routers that are not on the ring: one of the dead whose VM
// may still live, and one of the addresses to start from. Fleets that formed
// around different ones of these find each other that way.
func (t *Table) probe(beat Heartbeat) {
	if strangers := t.strangers(); len(strangers) > 0 {
		seed := strangers[t.options.Random.IntN(len(strangers))]
		t.emit(Send{Address: seed, Heartbeat: beat})
	}
	var dead []*member
	for _, m := range t.members {
		_, listed := t.listed[string(m.Router.ID)]
		if m.dead && (listed || t.listed == nil) {
			dead = append(dead, m)
		}
	}
	slices.SortFunc(dead, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	if m := t.pick(dead, nil); m != nil {
		t.send(m, beat)
	}
}

// pick returns one of the members at random, other than this router and the
// excepted ones; nil if there is none.
func (t *Table) pick(from, except []*member) *member {
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

// recent returns the members about whom there was news lately.
func (t *Table) recent(now time.Time) []*member {
	var recent []*member
	for _, m := range t.members {
		if m != t.self && !m.changed.IsZero() && now.Sub(m.changed) < repeatFor {
			recent = append(recent, m)
		}
	}
	slices.SortFunc(recent, func(a, b *member) int {
		if order := b.changed.Compare(a.changed); order != 0 {
			return order
		}
		return compareIDs(a.Router.ID, b.Router.ID)
	})
	return recent[:min(len(recent), maxRepeated)]
}

// forward passes gathered news on to a few routers chosen at random. A small
// fleet needs none of it, since the next heartbeat reaches everyone.
func (t *Table) forward(now time.Time) {
	if t.forwardAt.IsZero() || now.Before(t.forwardAt) {
		return
	}
	t.forwardAt = time.Time{}
	var fresh []*member
	for id := range t.news {
		if m := t.members[id]; m != nil && m != t.self {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	clear(t.news)
	beat := t.heartbeat(fresh)
	var chosen []*member
	for range forwards {
		m := t.pick(t.ring, chosen)
		if m == nil {
			return
		}
		chosen = append(chosen, m)
		t.send(m, beat)
	}
}

// help sends what is known to a router that knows less than half as many, and
// to one whose digest differs although there has been no news for a while that
// would explain it.
func (t *Table) help(now time.Time, in Received) {
	m := t.members[in.From]
	if m == nil || in.Heartbeat.Digest == t.digest {
		return
	}
	t.refresh(now)
	if 2*in.Heartbeat.Known < len(t.ring) {
		t.introduce(now, m)
		return
	}
	if now.Before(t.syncAt) || t.settling(now) {
		return
	}
	t.syncAt = now.Add(syncInterval)
	t.sendAll(now, m)
}

// introduce sends everything known to a router that has just started. When
// many start at once it names a few others instead, who share the work.
func (t *Table) introduce(now time.Time, m *member) {
	if !now.Before(t.fullAt) {
		t.fullAt = now.Add(time.Duration(len(t.members)) * fullPause)
		t.sendAll(now, m)
		return
	}
	var few []*member
	for range introduced {
		if other := t.pick(t.ring, append(few, m)); other != nil {
			few = append(few, other)
		}
	}
	t.send(m, t.heartbeat(few))
}

// settling reports whether news came so lately that others may lack it.
func (t *Table) settling(now time.Time) bool {
	for _, m := range t.members {
		if !m.changed.IsZero() && now.Sub(m.changed) < 2*HeartbeatInterval {
			return true
		}
	}
	return false
}

// sendAll sends everything known. The dead are among it, as suspected, since
// a router that missed a suspicion would otherwise list them for ever.
func (t *Table) sendAll(now time.Time, to *member) {
	t.refresh(now)
	everyone := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		everyone = append(everyone, m)
	}
	slices.SortFunc(everyone, func(a, b *member) int { return compareIDs(a.Router.ID, b.Router.ID) })
	beat := t.heartbeat(everyone)
	beat.Full = true
	t.send(to, beat)
}

// heartbeat returns a heartbeat with this router first and the given others.
func (t *Table) heartbeat(others []*member) Heartbeat {
	beat := Heartbeat{Digest: t.digest, Known: len(t.ring), Members: make([]Member, 1, len(others)+1)}
	beat.Members[0] = t.self.Member
	for _, m := range others {
		if m != t.self {
			beat.Members = append(beat.Members, m.Member)
		}
	}
	return beat
}

func (t *Table) send(to *member, beat Heartbeat) {
	t.emit(Send{To: to.Router.ID, Address: to.Router.PeerAddress, Heartbeat: beat})
}
