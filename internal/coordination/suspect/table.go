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

// waiter is a CheckRequest that waits for a permit or, in a table that does not
// isolate suspects, for evidence; see undecidedUntil.
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
	served     servedParts
	// repeated holds the parts with evidence from partThreshold endpoints or more.
	repeated map[Fingerprint]struct{}
	// convictions are the parts for which requests are rejected; see judgeParts.
	convictions []*partConviction
	// judgeAt is the next instant at which evidence against a part has settled; zero if
	// there is none.
	judgeAt time.Time
	// trials holds, by the first part of a conviction, the deadline of the request that
	// is being tried.
	trials map[Fingerprint]time.Time
	// missed holds the routers that have not confirmed some evidence in time. They are
	// sent more at catchUpAt, until they confirm it by catchUpAck.
	missed     map[view.RouterID]struct{}
	catchUpAt  time.Time
	catchUpAck EvidenceAck
	// recordsDueAt is no later than the next instant at which a record or a late
	// failure expires or evidence is sent again; zero if there is none.
	recordsDueAt time.Time
	wakeAt       time.Time
	out          []Output
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{
		options: o, self: o.Self, view: &view.Snapshot{Self: o.Self},
		records: map[Fingerprint]*record{}, late: map[Fingerprint]*late{}, trials: map[Fingerprint]time.Time{},
		repeated: map[Fingerprint]struct{}{}, missed: map[view.RouterID]struct{}{},
	}
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
	case PartsServed:
		t.partsServed(now, in.Parts)
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
		if t.records[in.Fingerprint] == nil && len(t.convictions) == 0 {
			t.emit(CheckResult{ID: in.ID, Verdict: VerdictFree})
			return true
		}
	case RunEnded:
		if in.Finished {
			delete(t.late, in.Fingerprint)
		}
		if t.records[in.Fingerprint] != nil || len(t.trials) > 0 || in.Served && t.hasRecord(in.Parts) {
			return false
		}
		if in.Served {
			t.served.add(now, in.Parts)
		}
		return true
	case PartsServed:
		if t.hasRecord(in.Parts) {
			return false
		}
		t.served.add(now, in.Parts)
		return true
	case EndpointAlive:
		return len(t.records) == 0
	}
	return false
}

func (t *Table) hasRecord(parts []Fingerprint) bool {
	return slices.ContainsFunc(parts, func(p Fingerprint) bool { return t.records[p] != nil })
}

// Len returns the number of fingerprints with evidence.
func (t *Table) Len() int { return len(t.records) }

// Empty reports whether the table holds nothing that a request may depend on.
func (t *Table) Empty() bool { return len(t.records) == 0 && len(t.late) == 0 }

func (t *Table) checkRequest(now time.Time, in CheckRequest) {
	if t.decide(now, in) {
		return
	}
	t.waiters = append(t.waiters, &waiter{CheckRequest: in, requestAt: now})
}

// decide answers a CheckRequest that needs no permit and reports whether it did.
func (t *Table) decide(now time.Time, in CheckRequest) bool {
	until, rejected := t.rejection(now, in)
	_, undecided := t.undecidedUntil(now, in, rejected)
	byPart, partUntil := t.partRejection(now, in)
	switch {
	case byPart != nil:
		t.emit(CheckResult{ID: in.ID, Verdict: VerdictRejected, Until: partUntil, Part: byPart.parts[0]})
	case undecided:
		return false
	case rejected:
		t.logRejection(now, in, until)
		t.emit(CheckResult{ID: in.ID, Verdict: VerdictRejected, Until: until})
	case !t.options.Isolate || t.failedEndpoints(now, in.Fingerprint) == 0:
		t.beginTrials(in)
		t.emit(CheckResult{ID: in.ID, Verdict: VerdictFree})
	default:
		return false
	}
	return true
}

func (t *Table) endpointFailed(now time.Time, in EndpointFailed) {
	e := Evidence{
		Fingerprint: in.Fingerprint, Endpoint: in.Endpoint,
		At: now, Until: now.Add(evidenceLifetime), BeganAt: in.BeganAt,
	}
	if t.addEvidence(now, e, true) {
		t.startResending(now, t.records[in.Fingerprint])
	}
	// The evidence is broadcast even if it is not new at this router: another
	// router may have found it first, and its own broadcast may not have reached
	// all routers yet.
	t.startBroadcast(now, in, append([]Evidence{e}, t.addPartEvidence(now, in, e)...))
}

// runEnded releases the permit and, after a complete answer, clears the
// evidence against the request.
func (t *Table) runEnded(now time.Time, in RunEnded) {
	t.endTrials(in.Parts)
	if in.Served {
		t.partsServed(now, in.Parts)
	}
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

func (t *Table) deliver(now time.Time, in Delivery) {
	switch m := in.Message.(type) {
	case EvidenceUpdate:
		t.receiveEvidence(now, in.From, m)
	case EvidenceAck:
		t.evidenceConfirmed(in.From, m)
		t.catchUpConfirmed(in.From, m)
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

// receiveEvidence adds evidence from another router. Only evidence against requests is
// confirmed; that against the parts of their prompts is in the same message.
func (t *Table) receiveEvidence(now time.Time, from view.RouterID, m EvidenceUpdate) {
	var cleared []Evidence
	if m.isCatchUp() {
		t.send(now, from, EvidenceAck{m.Evidence[0].Fingerprint, m.Evidence[0].Endpoint})
	}
	for _, e := range m.Evidence {
		e = t.adjustClock(now, e, m.Reply && !m.isCatchUp())
		if e.Fingerprint.isPart() {
			if c, objects := t.receivePartEvidence(now, e); objects && m.Reply {
				cleared = append(cleared, c)
			}
			continue
		}
		t.addEvidence(now, e, false)
		if m.Reply {
			t.send(now, from, EvidenceAck{e.Fingerprint, e.Endpoint})
		}
	}
	if len(cleared) > 0 {
		t.send(now, from, EvidenceUpdate{Evidence: cleared})
	}
}

// adjustClock moves the instants of evidence that a router with another clock has
// sent: no failure lies in the future, and one that is reported right away has just
// happened.
func (t *Table) adjustClock(now time.Time, e Evidence, fresh bool) Evidence {
	ahead := e.At.Sub(now)
	if t.options.Isolate || ahead <= 0 && (!fresh || ahead >= -maxClockSkew) {
		return e
	}
	e.At, e.Until = now, e.Until.Add(-ahead)
	if !e.BeganAt.IsZero() {
		e.BeganAt = e.BeganAt.Add(-ahead)
	}
	return e
}

// viewChanged sends the evidence against the fingerprints that this router owns
// to the routers that have joined or restarted. Of the owners only those count that
// could send it: routers that were there before, and are not suspected to be down.
func (t *Table) viewChanged(v *view.Snapshot) {
	known := map[view.RouterID]uint64{}
	for i := range t.view.Routers {
		known[t.view.Routers[i].ID] = t.view.Routers[i].Incarnation
	}
	t.view = v
	t.dropGoneRouters()
	t.dropGoneMissed()
	var joined []view.RouterID
	var senders view.Snapshot
	for i := range v.Routers {
		r := &v.Routers[i]
		incarnation, isKnown := known[r.ID]
		switch {
		case r.ID == t.self, isKnown && incarnation == r.Incarnation && !r.Suspected:
			senders.Routers = append(senders.Routers, *r)
		case !isKnown || incarnation != r.Incarnation:
			joined = append(joined, r.ID)
		}
	}
	if len(known) == 0 || len(joined) == 0 {
		return
	}
	var toSend []Evidence
	for _, f := range sortedKeys(t.records) {
		if slices.Contains(senders.Owners(ownerKey(f), ownersPerFingerprint), t.self) {
			toSend = append(toSend, t.records[f].all()...)
		}
	}
	for _, id := range joined {
		t.sendEvidence(id, toSend)
	}
}

// rejecting returns the evidence against the parts that are convicted, and against the
// requests and parts with failures of at least rejectThreshold endpoints, up to
// maxEvidencePerMessage pieces.
func (t *Table) rejecting(now time.Time) []Evidence {
	var all []Evidence
	for _, isPart := range []bool{true, false} {
		for f, c := range t.records {
			if t.isConvictedPart(f) == isPart && t.failedEndpoints(now, f) >= rejectThreshold && len(all)+len(c.evidence) <= maxEvidencePerMessage {
				all = append(all, c.all()...)
			}
		}
	}
	return all
}

func (t *Table) owners(f Fingerprint) []view.RouterID {
	return t.view.Owners(ownerKey(f), ownersPerFingerprint)
}

func ownerKey(f Fingerprint) string { return "suspect/" + strconv.FormatUint(uint64(f), 16) }

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
	t.advanceRecords(now)
	if !t.judgeAt.IsZero() && !now.Before(t.judgeAt) {
		t.judgeParts(now)
	}
	t.requestPermits(now)
	at := t.recordsDueAt
	scheduleAt := func(i time.Time) {
		if at.IsZero() || i.Before(at) {
			at = i
		}
	}
	for _, r := range t.waiters {
		scheduleAt(r.requestAt)
	}
	if !t.judgeAt.IsZero() {
		scheduleAt(t.judgeAt)
	}
	for _, next := range []time.Time{t.advanceBroadcasts(now), t.catchUp(now)} {
		if !next.IsZero() {
			scheduleAt(next)
		}
	}
	if !at.IsZero() && !at.Equal(t.wakeAt) {
		t.wakeAt = at
		t.emit(Wake{at})
	}
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
