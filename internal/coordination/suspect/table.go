package suspect

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// evidenceLifetime is how long a failure counts against a request.
	evidenceLifetime = 15 * time.Minute
	// rejectThreshold is the number of endpoints whose failure leads to the
	// rejection of a request.
	rejectThreshold = 2
	// maxRecords bounds the number of fingerprints with a record.
	maxRecords = 4096
	// evictedRecords is the number of records that a full table removes at once.
	evictedRecords = maxRecords / 8
	// clearedLifetime is how long a record is kept after its request has been
	// cleared, if requests do not run isolated. Evidence that is still on its way is
	// ignored meanwhile. Isolating tables keep it for evidenceLifetime, since other
	// routers send evidence again for so long.
	clearedLifetime = time.Minute
	// maxEvidencePerMessage bounds the pieces of evidence in one message.
	maxEvidencePerMessage = 256
	// firstResendDelay is the time after which evidence is sent again, because
	// the first message may have been lost on a broken link. The delay doubles
	// with each further resend, until the evidence expires.
	firstResendDelay = time.Second
	// permitRequestInterval is the time after which a permit is requested again.
	permitRequestInterval = 200 * time.Millisecond
	// maxClockSkew is the difference allowed between the clocks of two routers.
	maxClockSkew = time.Second
	// ownersPerFingerprint is the number of routers that own a fingerprint.
	ownersPerFingerprint = 2
)

// record holds the evidence against one fingerprint, by endpoint.
type record struct {
	evidence map[view.EndpointID]*Evidence
	until    time.Time
	// changedAt is when this router got the last piece of evidence.
	changedAt time.Time
	// loggedRejection is the number of failed endpoints at the last rejection that
	// was logged.
	loggedRejection int
	// resends is set if this router saw a failure or cleared evidence itself.
	// It then sends the evidence again at resendAt.
	resends     bool
	resendAt    time.Time
	resendDelay time.Duration
	// permitHolder is the router to which this router, as owner, granted the
	// permit.
	permitHolder view.RouterID
	permitUntil  time.Time
	// holdsPermit is set while this router holds the permit that grantedBy
	// granted.
	holdsPermit bool
	grantedBy   view.RouterID
}

// waiter is a CheckRequest that waits for a permit or, in a table that does not
// isolate suspects, for evidence; see mustSettle.
type waiter struct {
	CheckRequest
	requestAt time.Time
	// ownerIndex selects the owner that receives the permit requests, and
	// unanswered is set until that owner answers. An owner that has not
	// answered one request is skipped at the next.
	ownerIndex int
	unanswered bool
}

// Options configures a Table.
type Options struct {
	Self view.RouterID
	// Isolate makes suspects run one at a time and apart from each other, so that
	// a second crash convicts. It requires a scheduler that knows what all routers
	// run at an endpoint. If it is not set, suspects run without restrictions, and
	// a request is convicted as described in conviction.go.
	Isolate bool
	// ConfirmTimeout bounds how long the caller of a failed request waits until
	// the other routers have confirmed the evidence.
	ConfirmTimeout time.Duration
}

// Table holds the evidence that one router has. It is not safe for concurrent
// use.
type Table struct {
	options Options
	self    view.RouterID
	view    *view.Snapshot
	records map[Fingerprint]*record
	late    map[Fingerprint]*late
	waiters []*waiter
	// broadcasts are the failures that are not yet reported to their callers
	// because some routers have not confirmed the evidence.
	broadcasts []*broadcast
	// recordsDueAt is no later than the next instant at which a record or a late
	// failure expires or evidence is sent again; zero if there is none.
	recordsDueAt time.Time
	wakeAt       time.Time
	out          []Output
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o, self: o.Self, view: &view.Snapshot{Self: o.Self}, records: map[Fingerprint]*record{}, late: map[Fingerprint]*late{}}
}

// Step processes one input at the given instant and returns the outputs to
// carry out, in order. The returned slice is valid until the next Step.
func (t *Table) Step(now time.Time, in Input) []Output {
	t.out = t.out[:0]
	if t.stepWithoutEvidence(now, in) {
		return t.out
	}
	switch in := in.(type) {
	case CheckRequest:
		t.checkRequest(now, in)
	case Withdraw:
		t.waiters = slices.DeleteFunc(t.waiters, func(r *waiter) bool { return r.ID == in.ID })
	case EndpointFailed:
		t.endpointFailed(now, in)
	case LateFailure:
		t.lateFailure(now, in)
	case ListRequest:
		t.emit(EvidenceList{in.ID, t.rejecting(now)})
	case RunEnded:
		t.runEnded(now, in)
	case EndpointAlive:
		t.endpointAlive(now, in)
	case Delivery:
		t.deliver(now, in)
	case Change:
		t.viewChanged(in.View)
	case Alarm:
		t.wakeAt = time.Time{}
	}
	t.advance(now)
	return t.out
}

// stepWithoutEvidence handles inputs about requests without evidence and reports
// whether it did. Nearly all requests have none; they skip the work of advance
// and cost only a lookup.
func (t *Table) stepWithoutEvidence(now time.Time, in Input) bool {
	switch in := in.(type) {
	case CheckRequest:
		if t.records[in.Fingerprint] == nil {
			t.emit(CheckResult{ID: in.ID, Verdict: VerdictFree})
			return true
		}
	case RunEnded:
		if in.Finished {
			delete(t.late, in.Fingerprint)
		}
		return t.records[in.Fingerprint] == nil
	case EndpointAlive:
		return len(t.records) == 0
	}
	return false
}

// Len returns the number of fingerprints with evidence.
func (t *Table) Len() int { return len(t.records) }

// Empty reports whether the table holds nothing that a request may depend on.
func (t *Table) Empty() bool { return len(t.records) == 0 && len(t.late) == 0 }

// failedEndpoints returns the number of endpoints whose failure counts against
// a fingerprint.
func (t *Table) failedEndpoints(now time.Time, f Fingerprint) int {
	n := 0
	if c := t.records[f]; c != nil {
		for _, e := range c.evidence {
			if !e.Cleared && now.Before(e.Until) {
				n++
			}
		}
	}
	return n
}

func (t *Table) checkRequest(now time.Time, in CheckRequest) {
	if t.decide(now, in) {
		return
	}
	t.waiters = append(t.waiters, &waiter{CheckRequest: in, requestAt: now})
}

// decide answers a CheckRequest that needs no permit and reports whether it did.
func (t *Table) decide(now time.Time, in CheckRequest) bool {
	until, rejected := t.rejection(now, in.Fingerprint)
	switch {
	case t.mustSettle(now, in.Fingerprint):
		return false
	case rejected:
		t.logRejection(now, in.Fingerprint, until)
		t.emit(CheckResult{ID: in.ID, Verdict: VerdictRejected, Until: until})
	case !t.options.Isolate || t.failedEndpoints(now, in.Fingerprint) == 0:
		t.emit(CheckResult{ID: in.ID, Verdict: VerdictFree})
	default:
		return false
	}
	return true
}

func (t *Table) endpointFailed(now time.Time, in EndpointFailed) {
	e := Evidence{
		Fingerprint: in.Fingerprint, Endpoint: in.Endpoint,
		At: now, Until: now.Add(evidenceLifetime),
	}
	if t.addEvidence(now, e, true) {
		t.startResending(now, t.records[in.Fingerprint])
	}
	// The evidence is broadcast even if it is not new at this router: another
	// router may have found it first, and its own broadcast may not have reached
	// all routers yet.
	t.startBroadcast(now, in, e)
}

// startResending makes this router send the evidence of a record repeatedly.
func (t *Table) startResending(now time.Time, c *record) {
	c.resends, c.resendDelay, c.resendAt = true, firstResendDelay, now.Add(firstResendDelay)
	t.recordDueAt(c.resendAt)
}

// recordDueAt moves recordsDueAt to the given instant if that is earlier.
func (t *Table) recordDueAt(at time.Time) {
	if t.recordsDueAt.IsZero() || at.Before(t.recordsDueAt) {
		t.recordsDueAt = at
	}
}

// runEnded releases the permit and, after a complete answer, clears the
// evidence against the request.
func (t *Table) runEnded(now time.Time, in RunEnded) {
	c := t.records[in.Fingerprint]
	if c == nil {
		return
	}
	if in.Finished && t.failedEndpoints(now, in.Fingerprint) > 0 {
		t.clear(now, c, func(*Evidence) bool { return true })
	}
	if c.holdsPermit {
		c.holdsPermit = false
		t.send(now, c.grantedBy, PermitRelease{in.Fingerprint})
	}
}

// endpointAlive clears the evidence that names an endpoint which has not
// restarted. Every router that probes the endpoint clears its own records; only
// the owners of a fingerprint and the routers that resend its evidence send the
// cleared evidence to the others.
func (t *Table) endpointAlive(now time.Time, in EndpointAlive) {
	for _, f := range sortedKeys(t.records) {
		c := t.records[f]
		e := c.evidence[in.Endpoint]
		if e == nil || e.Cleared || !in.ProbedAt.After(e.At.Add(maxClockSkew)) {
			continue
		}
		if c.resends || slices.Contains(t.owners(f), t.self) {
			t.clear(now, c, func(x *Evidence) bool { return x == e })
			continue
		}
		e.Cleared = true
	}
}

func (t *Table) clear(now time.Time, c *record, match func(*Evidence) bool) {
	var cleared []Evidence
	for _, id := range sortedKeys(c.evidence) {
		e := c.evidence[id]
		if e.Cleared || !match(e) {
			continue
		}
		e.Cleared = true
		cleared = append(cleared, *e)
	}
	t.expireIfCleared(now, c)
	t.startResending(now, c)
	for i := range cleared {
		t.emit(Decision{"SuspectCleared", fields(&cleared[i])})
	}
	t.sendToAll(cleared)
}

// addEvidence adds evidence, or clears known evidence, and reports whether it did
// so. It ignores evidence that has expired, and evidence whose expiry lies
// further ahead than that of any valid evidence. Only the router that found the
// evidence logs it.
func (t *Table) addEvidence(now time.Time, e Evidence, own bool) bool {
	if !now.Before(e.Until) || e.Until.After(now.Add(2*evidenceLifetime)) {
		return false
	}
	c := t.records[e.Fingerprint]
	if c == nil {
		t.evictIfFull(now)
		c = &record{evidence: map[view.EndpointID]*Evidence{}}
		t.records[e.Fingerprint] = c
	}
	known := c.evidence[e.Endpoint]
	switch {
	case known == nil:
		c.evidence[e.Endpoint] = &e
		if e.Until.After(c.until) {
			c.until = e.Until
			t.recordDueAt(c.until)
		}
	case e.Cleared && !known.Cleared:
		known.Cleared = true
		t.expireIfCleared(now, c)
		return true
	default:
		return false
	}
	if !e.Cleared {
		c.changedAt = now
		if own {
			t.emit(Decision{"RequestSuspected", fields(&e)})
		}
	}
	return true
}

// expireIfCleared lets the record expire soon if none of its evidence counts.
func (t *Table) expireIfCleared(now time.Time, c *record) {
	if t.options.Isolate {
		return
	}
	for _, e := range c.evidence {
		if !e.Cleared {
			return
		}
	}
	c.until = now.Add(clearedLifetime)
	t.recordDueAt(c.until)
}

// evictIfFull makes room if there are maxRecords. It removes evictedRecords at
// once, so that a full table does not search all records for each new one: first
// those that reject nothing, and of these the ones that expire first.
func (t *Table) evictIfFull(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	type candidate struct {
		fingerprint Fingerprint
		rejects     bool
		until       time.Time
	}
	all := make([]candidate, 0, len(t.records))
	for f, c := range t.records {
		all = append(all, candidate{f, t.failedEndpoints(now, f) >= rejectThreshold, c.until})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.rejects != b.rejects {
			if b.rejects {
				return -1
			}
			return 1
		}
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, c := range all[:evictedRecords] {
		delete(t.records, c.fingerprint)
	}
}

func (t *Table) deliver(now time.Time, in Delivery) {
	switch m := in.Message.(type) {
	case EvidenceUpdate:
		for _, e := range m.Evidence {
			t.addEvidence(now, e, false)
			if m.Reply {
				t.send(now, in.From, EvidenceAck{e.Fingerprint, e.Endpoint})
			}
		}
	case EvidenceAck:
		t.evidenceConfirmed(in.From, m)
	case PermitRequest:
		t.permitRequested(now, in.From, m)
	case PermitReply:
		t.permitAnswered(now, in.From, m)
	case PermitRelease:
		if c := t.records[m.Fingerprint]; c != nil && c.permitHolder == in.From {
			c.permitHolder = ""
		}
	}
}

// viewChanged sends the evidence against the fingerprints that this router owns
// to the routers that have joined or restarted.
func (t *Table) viewChanged(v *view.Snapshot) {
	known := map[view.RouterID]uint64{}
	for i := range t.view.Routers {
		known[t.view.Routers[i].ID] = t.view.Routers[i].Incarnation
	}
	t.view = v
	t.dropGoneRouters()
	var toSend []Evidence
	for _, f := range sortedKeys(t.records) {
		if slices.Contains(t.owners(f), t.self) {
			c := t.records[f]
			for _, id := range sortedKeys(c.evidence) {
				toSend = append(toSend, *c.evidence[id])
			}
		}
	}
	for i := range v.Routers {
		r := &v.Routers[i]
		if r.ID != t.self && known[r.ID] != r.Incarnation {
			t.sendEvidence(r.ID, toSend)
		}
	}
}

// rejecting returns the evidence against the requests with failures of at least
// rejectThreshold endpoints, up to maxEvidencePerMessage pieces.
func (t *Table) rejecting(now time.Time) []Evidence {
	var all []Evidence
	for f, c := range t.records {
		if t.failedEndpoints(now, f) < rejectThreshold || len(all)+len(c.evidence) > maxEvidencePerMessage {
			continue
		}
		for _, id := range sortedKeys(c.evidence) {
			all = append(all, *c.evidence[id])
		}
	}
	return all
}

func (t *Table) owners(f Fingerprint) []view.RouterID {
	return t.view.Owners("suspect/"+strconv.FormatUint(uint64(f), 16), ownersPerFingerprint)
}

func (t *Table) isLive(id view.RouterID) bool {
	return id == t.self || slices.ContainsFunc(t.view.Routers, func(r view.Router) bool { return r.ID == id })
}

func (t *Table) sendToAll(toSend []Evidence) {
	for i := range t.view.Routers {
		if id := t.view.Routers[i].ID; id != t.self {
			t.sendEvidence(id, toSend)
		}
	}
}

func (t *Table) sendEvidence(to view.RouterID, toSend []Evidence) {
	for part := range slices.Chunk(toSend, maxEvidencePerMessage) {
		t.emit(Send{to, EvidenceUpdate{Evidence: part}})
	}
}

// send sends a message to another router, or delivers it at once if the
// receiver is this router.
func (t *Table) send(now time.Time, to view.RouterID, m Message) {
	if to == t.self {
		t.deliver(now, Delivery{t.self, m})
		return
	}
	t.emit(Send{to, m})
}

// advance processes the waiters and the broadcasts, sends evidence again,
// removes expired records, and requests a Wake for the next instant at which
// something is due.
func (t *Table) advance(now time.Time) {
	t.requestPermits(now)
	t.advanceRecords(now)
	at := t.recordsDueAt
	scheduleAt := func(i time.Time) {
		if at.IsZero() || i.Before(at) {
			at = i
		}
	}
	for _, r := range t.waiters {
		scheduleAt(r.requestAt)
	}
	if next := t.advanceBroadcasts(now); !next.IsZero() {
		scheduleAt(next)
	}
	if !at.IsZero() && !at.Equal(t.wakeAt) {
		t.wakeAt = at
		t.emit(Wake{at})
	}
}

// advanceRecords removes expired records and sends evidence again. Between the
// instants at which something is due, it costs nothing.
func (t *Table) advanceRecords(now time.Time) {
	if t.recordsDueAt.IsZero() || now.Before(t.recordsDueAt) {
		return
	}
	t.recordsDueAt = time.Time{}
	t.expireLate(now)
	var due []Fingerprint
	for f, c := range t.records {
		switch {
		case !now.Before(c.until):
			delete(t.records, f)
			continue
		case c.resends && !now.Before(c.resendAt):
			due = append(due, f)
		case c.resends:
			t.recordDueAt(c.resendAt)
		}
		t.recordDueAt(c.until)
	}
	slices.Sort(due)
	for _, f := range due {
		t.resendEvidence(now, f)
	}
}

// resendEvidence sends the evidence against a request to all routers again.
// Where suspects run without restrictions, only evidence that rejects a request
// is worth the messages.
func (t *Table) resendEvidence(now time.Time, f Fingerprint) {
	c := t.records[f]
	if !t.options.Isolate && t.failedEndpoints(now, f) < rejectThreshold {
		c.resends = false
		return
	}
	c.resendDelay *= 2
	c.resendAt = now.Add(c.resendDelay)
	t.recordDueAt(c.resendAt)
	var toSend []Evidence
	for _, id := range sortedKeys(c.evidence) {
		toSend = append(toSend, *c.evidence[id])
	}
	t.sendToAll(toSend)
}

func fields(e *Evidence) []string {
	return []string{
		"Fingerprint", strconv.FormatUint(uint64(e.Fingerprint), 16), "Endpoint", string(e.Endpoint),
		"Until", e.Until.UTC().Format(time.RFC3339),
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (t *Table) emit(o Output) { t.out = append(t.out, o) }
