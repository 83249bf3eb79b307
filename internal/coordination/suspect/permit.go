package suspect

import (
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

// asked grants a permit unless the suspect runs elsewhere. A fingerprint that
// is unknown here gets one as well; the asker's evidence has been delayed.
func (t *Table) asked(now time.Time, from view.RouterID, m PermitRequest) {
	p := PermitReply{Fingerprint: m.Fingerprint, Granted: true}
	if c := t.files[m.Fingerprint]; c != nil {
		for _, id := range sortedKeys(c.evidence) {
			p.Evidence = append(p.Evidence, *c.evidence[id])
		}
		if c.permit != "" && c.permit != from && now.Before(c.permitUntil) && t.lives(c.permit) {
			p.Granted = false
		} else {
			c.permit, c.permitUntil = from, m.Until
		}
	}
	t.send(now, from, p)
}

func (t *Table) permitted(now time.Time, from view.RouterID, m PermitReply) {
	for _, e := range m.Evidence {
		t.learn(now, e)
	}
	at := slices.IndexFunc(t.trials, func(r *trial) bool { return r.Fingerprint == m.Fingerprint })
	if at < 0 {
		if m.Granted {
			t.send(now, from, PermitRelease{m.Fingerprint})
		}
		return
	}
	r := t.trials[at]
	r.silent = false
	if t.decide(now, r.CheckRequest) {
		t.trials = slices.Delete(t.trials, at, at+1)
		return
	}
	c := t.files[m.Fingerprint]
	if !m.Granted || c.mine {
		return // another run is under way; the trial asks again
	}
	c.mine, c.owner = true, from
	t.trials = slices.Delete(t.trials, at, at+1)
	t.emit(CheckResult{ID: r.ID, Verdict: VerdictAlone})
	t.emit(Decision{"SuspectPermitted", []string{
		"Fingerprint", strconv.FormatUint(uint64(m.Fingerprint), 16), "Owner", string(from),
	}})
}

// tryPermits asks for permits, at the owners in turn while none answers.
func (t *Table) tryPermits(now time.Time) {
	for _, r := range slices.Clone(t.trials) {
		done := t.decide(now, r.CheckRequest)
		if !done && !now.Before(r.Deadline) {
			t.emit(CheckResult{ID: r.ID, Verdict: VerdictBusy})
			done = true
		}
		if done {
			t.trials = slices.DeleteFunc(t.trials, func(x *trial) bool { return x == r })
			continue
		}
		owners := t.owners(r.Fingerprint)
		if now.Before(r.askAt) || len(owners) == 0 {
			continue
		}
		r.askAt = now.Add(askEvery)
		if r.askAt.After(r.Deadline) {
			r.askAt = r.Deadline
		}
		if r.silent {
			r.at++
		}
		r.silent = true
		t.send(now, owners[r.at%len(owners)], PermitRequest{r.Fingerprint, r.Deadline})
	}
}
