package endpoint

import (
	"math/bits"
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// newsLifetime is the time for which a change is told again and again.
	newsLifetime = 5 * time.Second
	// newsInterval is the time between two rounds that repeat changes.
	newsInterval = 500 * time.Millisecond
	// maxStates bounds the states of one message.
	maxStates = 64
	// extraPeers is added to the logarithm of the fleet's size for the number
	// of routers that a change is told to at once.
	extraPeers = 2
	// repeatPeers is the number of routers that a repeated change is told to.
	repeatPeers = 1
)

// newsQueue holds the endpoints about which peers are to be told.
type newsQueue struct {
	// fresh have not been told yet, in the order of their changes.
	fresh []string
	// changed holds the instant of each change that is still repeated.
	changed  map[string]time.Time
	repeated time.Time
}

func (q *newsQueue) add(now time.Time, key string) {
	if !slices.Contains(q.fresh, key) {
		q.fresh = append(q.fresh, key)
	}
	q.changed[key] = now
}

// sendNews tells fresh changes to a few routers, and repeats late ones to one.
func (t *Table) sendNews(now time.Time) {
	if len(t.news.fresh) > 0 {
		count := min(maxStates, len(t.news.fresh))
		keys := slices.Clone(t.news.fresh[:count])
		t.news.fresh = slices.Delete(t.news.fresh, 0, count)
		t.tell(keys, bits.Len(uint(len(t.view.Routers)))+extraPeers)
	}
	if now.Sub(t.news.repeated) < newsInterval {
		return
	}
	t.news.repeated = now
	var keys []string
	for key, changed := range t.news.changed {
		if now.Sub(changed) > newsLifetime {
			delete(t.news.changed, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for chunk := range slices.Chunk(keys, maxStates) {
		t.tell(chunk, repeatPeers)
	}
}

// tell sends the states of the endpoints to that many routers at random.
func (t *Table) tell(keys []string, count int) {
	news := Update{ListVersion: t.list.version, ListAsOf: t.list.asOf}
	for _, key := range keys {
		if r := t.records[key]; r != nil && r.id != "" {
			news.States = append(news.States, r.state())
		}
	}
	if len(news.States) == 0 {
		return
	}
	for _, to := range t.somePeers(count) {
		t.emit(Send{to, news})
	}
}

// somePeers draws that many other routers.
func (t *Table) somePeers(count int) []view.RouterID {
	var peers []view.RouterID
	for i := range t.view.Routers {
		if id := t.view.Routers[i].ID; id != t.view.Self {
			peers = append(peers, id)
		}
	}
	t.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// receive takes news from a peer and passes on what was new here.
func (t *Table) receive(now time.Time, in Delivery) {
	for _, s := range in.Update.States {
		key, started, ok := ParseID(s.ID)
		r := t.records[key]
		if !ok || r == nil || started.Before(r.started) {
			continue
		}
		id, before, asOf := r.id, r.facts, r.asOf
		t.begin(r, started)
		t.merge(now, r, s, in.Update.ListAsOf)
		if r.id == id && r.facts.equal(&before) && r.asOf.Equal(asOf) {
			continue
		}
		t.dirty = true
		t.news.add(now, key)
		if r.facts.leaving && !before.leaving {
			t.decide("EndpointLeaving", r, "Peer", string(in.From),
				"ListVersion", strconv.FormatUint(in.Update.ListVersion, 10))
		}
	}
}

// merge takes a peer's state of the same start.
func (t *Table) merge(now time.Time, r *record, s State, listAsOf time.Time) {
	r.facts.leaving = r.facts.leaving || s.Leaving
	if listAsOf.After(t.list.asOf) && listAsOf.After(r.goneAsOf) {
		r.facts.gone, r.goneAsOf = s.Gone, listAsOf
	}
	if !s.AsOf.After(r.asOf) {
		return
	}
	r.asOf = s.AsOf
	r.facts.models = s.Models
	if t.mine(r) {
		// This router polls the endpoint and has a judgement of its own.
		return
	}
	r.health.probe = false
	if !now.Before(s.EjectedUntil) {
		r.facts.ejectedUntil = time.Time{}
		return
	}
	// An endpoint that has worked here since the peer saw it fail stays.
	if r.health.succeeded.Before(s.AsOf) && t.mayEject(now, r) {
		r.facts.ejectedUntil = s.EjectedUntil
	}
}
