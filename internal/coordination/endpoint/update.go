package endpoint

import (
	"math/bits"
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// updateLifetime is how long a change is sent again after it was made.
	updateLifetime = 5 * time.Second
	// resendInterval is the time between two rounds of resending changes.
	resendInterval = 500 * time.Millisecond
	// maxStates bounds the number of states in one message.
	maxStates = 64
	// extraRecipients is added to the bit length of the number of routers to get
	// the number of routers that receive a new change at once. That number
	// therefore grows with the logarithm of the fleet size.
	extraRecipients = 2
	// resendRecipients is the number of routers that receive a resent change.
	resendRecipients = 1
)

// updateQueue holds the keys of the endpoints whose changes are to be sent to
// other routers.
type updateQueue struct {
	// unsent are the endpoints with a change that was not sent yet, in the
	// order of their changes.
	unsent []string
	// changedAt holds the instant of each change that is still resent.
	changedAt map[string]time.Time
	resentAt  time.Time
}

func (q *updateQueue) add(now time.Time, key string) {
	if !slices.Contains(q.unsent, key) {
		q.unsent = append(q.unsent, key)
	}
	q.changedAt[key] = now
}

// sendUpdates sends new changes to a few routers, and resends the changes of
// the last updateLifetime to one.
func (t *Table) sendUpdates(now time.Time) {
	if len(t.updates.unsent) > 0 {
		count := min(maxStates, len(t.updates.unsent))
		keys := slices.Clone(t.updates.unsent[:count])
		t.updates.unsent = slices.Delete(t.updates.unsent, 0, count)
		t.sendStates(keys, bits.Len(uint(len(t.view.Routers)))+extraRecipients)
	}
	if now.Sub(t.updates.resentAt) < resendInterval {
		return
	}
	t.updates.resentAt = now
	var keys []string
	for key, changed := range t.updates.changedAt {
		if now.Sub(changed) > updateLifetime {
			delete(t.updates.changedAt, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for chunk := range slices.Chunk(keys, maxStates) {
		t.sendStates(chunk, resendRecipients)
	}
}

// sendStates sends the states of the endpoints to count random routers.
func (t *Table) sendStates(keys []string, count int) {
	update := Update{ListVersion: t.list.version, ListAsOf: t.list.asOf}
	for _, key := range keys {
		if r := t.records[key]; r != nil && r.id != "" {
			update.States = append(update.States, r.state())
		}
	}
	if len(update.States) == 0 {
		return
	}
	for _, to := range t.randomPeers(count) {
		t.emit(Send{to, update})
	}
}

// randomPeers returns up to count other routers, chosen at random.
func (t *Table) randomPeers(count int) []view.RouterID {
	var peers []view.RouterID
	for i := range t.view.Routers {
		if id := t.view.Routers[i].ID; id != t.view.Self {
			peers = append(peers, id)
		}
	}
	t.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// receive merges the states that a peer sent. It queues the endpoints whose
// records changed, so that the changes are sent to other routers.
func (t *Table) receive(now time.Time, in Delivery) {
	for _, s := range in.Update.States {
		key, started, ok := ParseID(s.ID)
		r := t.records[key]
		if !ok || r == nil || started.Before(r.started) {
			continue
		}
		id, before, asOf := r.id, r.shared, r.asOf
		t.setStart(r, started)
		t.merge(now, r, s, in.Update.ListAsOf)
		if r.id == id && r.shared.equal(&before) && r.asOf.Equal(asOf) {
			continue
		}
		t.dirty = true
		t.updates.add(now, key)
		if r.shared.leaving && !before.leaving {
			t.logDecision("EndpointLeaving", r, "Peer", string(in.From),
				"ListVersion", strconv.FormatUint(in.Update.ListVersion, 10))
		}
	}
}

// merge merges a peer's state of the same start into the record.
func (t *Table) merge(now time.Time, r *record, s State, listAsOf time.Time) {
	r.shared.leaving = r.shared.leaving || s.Leaving
	if listAsOf.After(t.list.asOf) && listAsOf.After(r.goneAsOf) {
		r.shared.gone, r.goneAsOf = s.Gone, listAsOf
	}
	if !s.AsOf.After(r.asOf) {
		return
	}
	r.asOf = s.AsOf
	r.shared.models = s.Models
	if t.isPoller(r) {
		// This router polls the endpoint and relies on its own assessment.
		return
	}
	r.health.probing = false
	if !now.Before(s.EjectedUntil) {
		r.shared.ejectedUntil = time.Time{}
		return
	}
	// An endpoint that has worked for this router since the peer's state was
	// observed is not ejected.
	if r.health.succeededAt.Before(s.AsOf) && t.mayEject(now, r) {
		r.shared.ejectedUntil = s.EjectedUntil
	}
}
