package suspect

import (
	"slices"
	"time"

	"hyssopreach/internal/state/view"
)

// addMissed records routers that have not confirmed evidence in time.
func (t *Table) addMissed(ids ...view.RouterID) {
	for _, id := range ids {
		t.missed[id] = struct{}{}
	}
}

// catchUp sends the evidence against convicted parts to the routers that have missed
// some evidence, each firstResendDelay until they confirm it. Sending it again with
// doubling pauses does not suffice: a router that could not be reached would pass on
// requests with these parts for as long again. It returns the instant of the next send,
// or zero if there is none.
func (t *Table) catchUp(now time.Time) time.Time {
	if len(t.missed) == 0 || len(t.convictions) == 0 {
		return time.Time{}
	}
	if now.Before(t.catchUpAt) {
		return t.catchUpAt
	}
	t.catchUpAt = now.Add(firstResendDelay)
	var toSend []Evidence
	for _, c := range t.convictions {
		for _, f := range c.parts {
			if c := t.records[f]; c != nil { // it may have been evicted
				toSend = append(toSend, c.all()...)
			}
		}
	}
	if len(toSend) == 0 {
		return t.catchUpAt
	}
	toSend = toSend[:min(len(toSend), maxEvidencePerMessage)]
	t.catchUpAck = EvidenceAck{toSend[0].Fingerprint, toSend[0].Endpoint}
	for _, id := range sortedKeys(t.missed) {
		t.emit(Send{id, EvidenceUpdate{Evidence: toSend, Reply: true}})
	}
	return t.catchUpAt
}

// isCatchUp reports whether m was sent by catchUp: other updates that request
// confirmations begin with evidence against a request.
func (m EvidenceUpdate) isCatchUp() bool {
	return m.Reply && len(m.Evidence) > 0 && m.Evidence[0].Fingerprint.isPart()
}

// catchUpConfirmed records that a router has received the evidence that it had missed.
func (t *Table) catchUpConfirmed(from view.RouterID, m EvidenceAck) {
	if m == t.catchUpAck {
		delete(t.missed, from)
	}
}

// dropGoneMissed forgets the routers that have left the view. They get all evidence if
// they return.
func (t *Table) dropGoneMissed() {
	for id := range t.missed {
		if !slices.ContainsFunc(t.view.Routers, func(r view.Router) bool { return r.ID == id }) {
			delete(t.missed, id)
		}
	}
}
