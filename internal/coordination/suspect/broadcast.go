package suspect

import (
	"slices"
	"time"

	"hyssopreach/internal/state/view"
)

// resendInterval is the time after which evidence is sent again to routers
// that have not confirmed it. It is shorter than the 250 ms for which a
// link that could not be opened drops its messages (redialPause in
// transport/peer), so that evidence is sent soon after that time.
const resendInterval = 50 * time.Millisecond

// broadcast is an EndpointFailed whose evidence some routers have not confirmed
// yet.
type broadcast struct {
	EndpointFailed
	evidence    []Evidence
	unconfirmed []view.RouterID
	resendAt    time.Time
	until       time.Time
}

// startBroadcast sends evidence to all routers that are not suspected to be
// down. The EndpointFailed is answered once they have confirmed it.
func (t *Table) startBroadcast(now time.Time, in EndpointFailed, evidence []Evidence) {
	b := &broadcast{EndpointFailed: in, evidence: evidence, resendAt: now.Add(resendInterval), until: now.Add(t.options.ConfirmTimeout)}
	for i := range t.view.Routers {
		switch r := &t.view.Routers[i]; {
		case r.ID == t.self:
		case r.Suspected:
			t.addMissed(r.ID)
		default:
			b.unconfirmed = append(b.unconfirmed, r.ID)
		}
	}
	t.broadcasts = append(t.broadcasts, b)
	t.sendUnconfirmed(b)
}

func (t *Table) sendUnconfirmed(b *broadcast) {
	for _, id := range b.unconfirmed {
		t.emit(Send{id, EvidenceUpdate{Evidence: b.evidence, Reply: true}})
	}
}

// evidenceConfirmed records that a router has received a piece of evidence.
func (t *Table) evidenceConfirmed(from view.RouterID, m EvidenceAck) {
	for _, b := range t.broadcasts {
		if b.Fingerprint == m.Fingerprint && b.Endpoint == m.Endpoint {
			b.unconfirmed = slices.DeleteFunc(b.unconfirmed, func(id view.RouterID) bool { return id == from })
		}
	}
}

// dropGoneRouters stops waiting for routers that have left the view.
func (t *Table) dropGoneRouters() {
	for _, b := range t.broadcasts {
		b.unconfirmed = slices.DeleteFunc(b.unconfirmed, func(id view.RouterID) bool { return !t.isLive(id) })
	}
}

// advanceBroadcasts answers the broadcasts that are confirmed or have timed out
// and sends the evidence of the others again when it is due. It returns the
// instant of the next resend, or zero if there is none.
func (t *Table) advanceBroadcasts(now time.Time) time.Time {
	var next time.Time
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(b *broadcast) bool {
		if len(b.unconfirmed) == 0 || !now.Before(b.until) {
			t.emit(BroadcastDone{b.ID})
			t.addMissed(b.unconfirmed...)
			return true
		}
		if !now.Before(b.resendAt) {
			b.resendAt = now.Add(resendInterval)
			t.sendUnconfirmed(b)
		}
		if next.IsZero() || b.resendAt.Before(next) {
			next = b.resendAt
		}
		return false
	})
	return next
}
