package suspect

import (
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

// permitRequested grants a permit unless another live router holds one that has
// not expired. It also grants one if this router has no evidence against the
// fingerprint: the evidence that the requesting router has is still on its way.
// Such a permit is not recorded, so it does not prevent a second one.
func (t *Table) permitRequested(now time.Time, from view.RouterID, m PermitRequest) {
	p := PermitReply{Fingerprint: m.Fingerprint, Granted: true}
	if c := t.records[m.Fingerprint]; c != nil {
		for _, id := range sortedKeys(c.evidence) {
			p.Evidence = append(p.Evidence, *c.evidence[id])
		}
		if c.permitHolder != "" && c.permitHolder != from && now.Before(c.permitUntil) && t.isLive(c.permitHolder) {
			p.Granted = false
		} else {
			c.permitHolder, c.permitUntil = from, m.Until
		}
	}
	t.send(now, from, p)
}

func (t *Table) permitAnswered(now time.Time, from view.RouterID, m PermitReply) {
	for _, e := range m.Evidence {
		t.addEvidence(now, e, false)
	}
	at := slices.IndexFunc(t.waiters, func(r *waiter) bool { return r.Fingerprint == m.Fingerprint })
	if at < 0 {
		if m.Granted {
			t.send(now, from, PermitRelease{m.Fingerprint})
		}
		return
	}
	r := t.waiters[at]
	r.unanswered = false
	if t.decide(now, r.CheckRequest) {
		t.waiters = slices.Delete(t.waiters, at, at+1)
		return
	}
	c := t.records[m.Fingerprint]
	if !m.Granted || c.holdsPermit {
		return // another run is in flight; requestPermits sends the request again
	}
	c.holdsPermit, c.grantedBy = true, from
	t.waiters = slices.Delete(t.waiters, at, at+1)
	t.emit(CheckResult{ID: r.ID, Verdict: VerdictExclusive})
	t.emit(Decision{"SuspectPermitted", []string{
		"Fingerprint", strconv.FormatUint(uint64(m.Fingerprint), 16), "Owner", string(from),
	}})
}

// requestPermits decides the waiters that need no permit or have reached their
// deadline, and sends the permit requests that are due. Requests that do not run
// isolated wait for evidence instead; see undecidedUntil. It moves on to the next
// owner if the owner of the previous permit request has not answered.
func (t *Table) requestPermits(now time.Time) {
	for _, r := range slices.Clone(t.waiters) {
		done := t.decide(now, r.CheckRequest)
		if !done && !now.Before(r.Deadline) {
			t.emit(CheckResult{ID: r.ID, Verdict: VerdictBusy})
			done = true
		}
		if done {
			t.waiters = slices.DeleteFunc(t.waiters, func(x *waiter) bool { return x == r })
			continue
		}
		if !t.options.Isolate {
			_, rejected := t.rejection(now, r.CheckRequest)
			r.requestAt, _ = t.undecidedUntil(now, r.CheckRequest, rejected)
			if r.requestAt.After(r.Deadline) {
				r.requestAt = r.Deadline
			}
			continue
		}
		owners := t.owners(r.Fingerprint)
		if now.Before(r.requestAt) || len(owners) == 0 {
			continue
		}
		r.requestAt = now.Add(permitRequestInterval)
		if r.requestAt.After(r.Deadline) {
			r.requestAt = r.Deadline
		}
		if r.unanswered {
			r.ownerIndex++
		}
		r.unanswered = true
		t.send(now, owners[r.ownerIndex%len(owners)], PermitRequest{r.Fingerprint, r.Deadline})
	}
}
