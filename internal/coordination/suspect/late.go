package suspect

import (
	"time"

	"hyssopreach/internal/state/view"
)

// maxLate bounds the number of requests with late failures.
const maxLate = 4096

// late holds the endpoints that failed under runs of a request at this router that
// had lasted too long for the request to be suspected for each failure by itself.
type late struct {
	endpoints []view.EndpointID
	until     time.Time
}

// lateFailure records a late failure. Most requests with one only ran at an
// endpoint that failed, and there are many, so it is kept at this router alone. A
// request with late failures of certainThreshold endpoints is no accident; they
// then become evidence.
func (t *Table) lateFailure(now time.Time, in LateFailure) {
	l := t.late[in.Fingerprint]
	if l == nil {
		if len(t.late) >= maxLate {
			return
		}
		l = &late{}
		t.late[in.Fingerprint] = l
	}
	for _, id := range l.endpoints {
		if id == in.Endpoint {
			return
		}
	}
	l.endpoints = append(l.endpoints, in.Endpoint)
	l.until = now.Add(evidenceLifetime)
	t.recordDueAt(l.until)
	if len(l.endpoints) < certainThreshold {
		return
	}
	delete(t.late, in.Fingerprint)
	var found []Evidence
	for _, id := range l.endpoints {
		e := Evidence{Fingerprint: in.Fingerprint, Endpoint: id, At: now, Until: now.Add(evidenceLifetime)}
		if t.addEvidence(now, e, true) {
			found = append(found, e)
		}
	}
	t.startResending(now, t.records[in.Fingerprint])
	t.sendToAll(found)
}

// expireLate removes the late failures that are too old.
func (t *Table) expireLate(now time.Time) {
	for f, l := range t.late {
		if !now.Before(l.until) {
			delete(t.late, f)
			continue
		}
		t.recordDueAt(l.until)
	}
}
