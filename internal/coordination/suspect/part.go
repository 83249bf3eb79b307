package suspect

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// partThreshold is the number of endpoints that must have crashed under a part
	// before it is rejected.
	partThreshold = certainThreshold
	// separateThreshold is the number of crashes from which on parts that were always
	// together are rejected each by itself: the requests with one of them may not be
	// those with the others. A request has fewer attempts.
	separateThreshold = 5
	// lateThreshold and maxLateTrials bound the trials of a part that crash endpoints:
	// maxLateTrials after the first lateThreshold crashes.
	lateThreshold, maxLateTrials = 5, 2
	// trialRetryDelay is the time after which a caller may come again that is refused
	// because another request with its part is being tried.
	trialRetryDelay = time.Second
)

// partConviction is a set of parts to which crashes are put down. It has more than
// one part if they were together at each of these crashes. Then at least one of them
// causes crashes, and the requests that contain all of them are rejected; one that
// contains only some shows which.
type partConviction struct {
	parts     []Fingerprint // in ascending order
	endpoints []view.EndpointID
	// until is the end of the rejection, and pause its length. It has no end if final is
	// set; callers may then ask again after pause.
	until time.Time
	pause time.Duration
	final bool
}

// partCandidate is a part with enough crashes to be convicted.
type partCandidate struct {
	part      Fingerprint
	endpoints []view.EndpointID // in ascending order; those not explained yet
}

// addPartEvidence adds a failure as evidence against the parts of a prompt and returns
// the evidence. Parts that have been served as often as they were at crashes are not
// suspected.
func (t *Table) addPartEvidence(now time.Time, in EndpointFailed, e Evidence) []Evidence {
	var found []Evidence
	for _, p := range in.Parts {
		if t.served.outweigh(now, p, in.Endpoint) {
			continue
		}
		e.Fingerprint = p
		if t.addEvidence(now, e, true) {
			t.startResending(now, t.records[p])
			t.judgeWhenSettled(now, e)
		}
		found = append(found, e)
	}
	return found
}

// judgeWhenSettled makes the table judge parts once a piece of evidence has settled:
// that against the other parts at the same crash has arrived by then.
func (t *Table) judgeWhenSettled(now time.Time, e Evidence) {
	if len(t.records[e.Fingerprint].evidence) < partThreshold {
		return
	}
	t.repeated[e.Fingerprint] = struct{}{}
	t.prolongRejection(e)
	at := e.At.Add(settleTime)
	if at.Before(now) {
		at = now
	}
	if t.judgeAt.IsZero() || at.Before(t.judgeAt) {
		t.judgeAt = at
	}
}

// prolongRejection makes a crash of a convicted part count before it is judged. Otherwise
// the retry of a request that was tried, or the next one, would be tried meanwhile.
func (t *Table) prolongRejection(e Evidence) {
	for _, c := range t.convictions {
		if until := e.At.Add(c.pause); slices.Contains(c.parts, e.Fingerprint) && until.After(c.until) {
			c.until = until
		}
	}
}

// receivePartEvidence handles evidence against a part from another router. It returns
// the evidence marked as cleared if an answer at this router outweighs it.
func (t *Table) receivePartEvidence(now time.Time, e Evidence) (cleared Evidence, objects bool) {
	if !e.Cleared && t.served.outweigh(now, e.Fingerprint, e.Endpoint) {
		e.Cleared = true
		return e, true
	}
	before := t.failedEndpoints(now, e.Fingerprint)
	if !t.addEvidence(now, e, false) {
		return Evidence{}, false
	}
	if t.failedEndpoints(now, e.Fingerprint) < before {
		t.clearPart(now, t.records[e.Fingerprint])
	}
	t.judgeWhenSettled(now, e)
	return Evidence{}, false
}

// clearPart clears all evidence against a part that another router has cleared: an
// answer clears a part of all earlier crashes. A router that has reported some of it
// tells the others, since an objection reaches only the router whose report it answers.
func (t *Table) clearPart(now time.Time, c *record) {
	for _, e := range c.evidence {
		e.Cleared = true
	}
	t.expireIfCleared(now, c)
	if c.resendDelay > 0 {
		t.sendToAll(c.all())
	}
}

// partsServed records an answer on parts and clears the evidence against them.
func (t *Table) partsServed(now time.Time, parts []Fingerprint) {
	judge := false
	var others []Fingerprint
	for _, p := range parts {
		if c := t.records[p]; c != nil && t.failedEndpoints(now, p) > 0 {
			t.clear(now, c, func(*Evidence) bool { return true })
			judge = true
		} else {
			others = append(others, p)
		}
	}
	t.served.add(now, others)
	if judge {
		t.judgeParts(now)
	}
}

// judgeParts puts the crashes down to parts of prompts, from all evidence anew: it
// convicts the part with the most crashes first, which explains them, then the one
// with the most of the others, and so on. A part is not convicted while another one
// was at some of the same crashes and at as many in all, but not at the same ones:
// further crashes or answers will tell which it is, up to separateThreshold.
func (t *Table) judgeParts(now time.Time) {
	before := t.convictions
	t.convictions = nil
	candidates := t.partCandidates(now)
	for {
		best := t.bestCandidate(candidates)
		if best == nil {
			break
		}
		explained := best.endpoints
		var parts []Fingerprint
		for i := range candidates {
			if slices.Equal(candidates[i].endpoints, explained) {
				parts = append(parts, candidates[i].part)
			}
		}
		if len(explained) < separateThreshold {
			t.convict(now, parts, explained)
		} else {
			for part := range slices.Chunk(parts, 1) {
				t.convict(now, part, explained)
			}
		}
		for i := range candidates {
			candidates[i].endpoints = slices.DeleteFunc(slices.Clone(candidates[i].endpoints), func(id view.EndpointID) bool {
				return slices.Contains(explained, id)
			})
		}
	}
	t.logConvictions(before)
}

// partCandidates returns the parts with enough crashes whose evidence has settled, in
// ascending order, and sets judgeAt to the instant at which the next one has.
func (t *Table) partCandidates(now time.Time) []partCandidate {
	t.judgeAt = time.Time{}
	var all []partCandidate
	// Parts that were at the same crashes, of which there may be many, share a search.
	wasOneRequest := map[string]bool{}
	for f := range t.repeated {
		c := t.records[f]
		if c == nil || len(c.evidence) < partThreshold {
			delete(t.repeated, f)
			continue
		}
		p := partCandidate{part: f}
		for id, e := range c.evidence {
			if e.Cleared || !now.Before(e.Until) {
				continue
			}
			if at := e.At.Add(settleTime); now.Before(at) {
				if t.judgeAt.IsZero() || at.Before(t.judgeAt) {
					t.judgeAt = at
				}
				continue
			}
			p.endpoints = append(p.endpoints, id)
		}
		if len(p.endpoints) < partThreshold {
			continue
		}
		slices.Sort(p.endpoints)
		key := joinIDs(p.endpoints)
		one, known := wasOneRequest[key]
		if !known {
			one = t.wasOneRequest(p.endpoints)
			wasOneRequest[key] = one
		}
		if !one {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b partCandidate) int { return cmp.Compare(a.part, b.part) })
	return all
}

// wasOneRequest reports whether one request was at the crashes of all these endpoints.
// It is then rejected as a whole, and the parts of its prompt are not suspected for it.
func (t *Table) wasOneRequest(endpoints []view.EndpointID) bool {
	for f, c := range t.records {
		if f.isPart() || len(c.evidence) < len(endpoints) {
			continue
		}
		elsewhere := slices.ContainsFunc(endpoints, func(id view.EndpointID) bool {
			e := c.evidence[id]
			return e == nil || e.Cleared
		})
		if !elsewhere {
			return true
		}
	}
	return false
}

// bestCandidate returns the candidate with the most crashes among those without a
// rival, and nil if there is none.
func (t *Table) bestCandidate(all []partCandidate) *partCandidate {
	var best *partCandidate
	for i := range all {
		p := &all[i]
		if len(p.endpoints) < partThreshold || best != nil && len(p.endpoints) <= len(best.endpoints) {
			continue
		}
		hasRival := len(p.endpoints) < separateThreshold && slices.ContainsFunc(all, func(q partCandidate) bool {
			return len(q.endpoints) >= len(p.endpoints) && !slices.Equal(q.endpoints, p.endpoints) &&
				slices.ContainsFunc(q.endpoints, func(id view.EndpointID) bool { return slices.Contains(p.endpoints, id) })
		})
		if !hasRival {
			best = p
		}
	}
	return best
}

// convict rejects requests with the given parts, which were at crashes of the given
// endpoints. The rejection lasts for firstRejection after the last crash; each crash of
// a request that was tried after its end doubles it, until it becomes final.
func (t *Table) convict(now time.Time, parts []Fingerprint, endpoints []view.EndpointID) {
	c := &partConviction{parts: parts, endpoints: endpoints}
	t.convictions = append(t.convictions, c)
	evidence := t.records[parts[0]].evidence
	var crashes []time.Time
	for _, id := range endpoints {
		crashes = append(crashes, evidence[id].At)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	c.pause = firstRejection
	c.until = crashes[partThreshold-1].Add(c.pause)
	lateTrials := 0
	for i, at := range crashes[partThreshold:] {
		if !at.Before(c.until) {
			c.pause = min(2*c.pause, evidenceLifetime)
			if partThreshold+i >= lateThreshold {
				lateTrials++
			}
		}
		c.until = at.Add(c.pause)
	}
	c.final = lateTrials >= maxLateTrials
	for _, p := range parts {
		t.retain(now, t.records[p])
	}
	if latest := now.Add(evidenceLifetime); c.until.After(latest) {
		c.until = latest
	}
}

// applies reports whether a request with the given parts is rejected by c.
func (c *partConviction) applies(parts []Fingerprint) bool {
	return len(parts) >= len(c.parts) && !slices.ContainsFunc(c.parts, func(p Fingerprint) bool { return !slices.Contains(parts, p) })
}

// partRejection returns the conviction by which a request is rejected and the instant
// until which it is, and nil if it is not rejected for its parts. After the end of
// a rejection, one request at a time may be tried in the fleet: the routers take
// turns, the owner of the part first, each for as long as the rejection lasted.
func (t *Table) partRejection(now time.Time, in CheckRequest) (rejecting *partConviction, until time.Time) {
	for _, c := range t.convictions {
		if !c.applies(in.Parts) {
			continue
		}
		at := c.until
		if c.final {
			at = now.Add(c.pause)
		}
		if !now.Before(at) {
			at = at.Add(time.Duration(t.rank(c.parts[0])) * c.pause)
		}
		if trialUntil := t.trials[c.parts[0]]; !now.Before(at) && now.Before(trialUntil) {
			if in.Deadline.IsZero() {
				continue // the request that is being tried, right before it is sent
			}
			at = now.Add(trialRetryDelay)
		}
		if now.Before(at) && !at.Before(until) {
			rejecting, until = c, at
		}
	}
	return rejecting, until
}

// rank returns the number of routers whose turn to try a part comes before that of
// this one.
func (t *Table) rank(p Fingerprint) int {
	order := t.view.Owners(ownerKey(p), len(t.view.Routers))
	if at := slices.Index(order, t.self); at >= 0 {
		return at
	}
	return len(order)
}

// beginTrials records that a request runs although its parts are convicted.
func (t *Table) beginTrials(in CheckRequest) {
	for _, c := range t.convictions {
		if c.applies(in.Parts) && !in.Deadline.IsZero() {
			t.trials[c.parts[0]] = in.Deadline
			t.emit(Decision{"PartTried", []string{"Parts", formatFingerprints(c.parts)}})
		}
	}
}

// endTrials records that a request with the given parts has ended.
func (t *Table) endTrials(parts []Fingerprint) {
	if len(t.trials) == 0 {
		return
	}
	for _, p := range parts {
		delete(t.trials, p)
	}
}

func (t *Table) isConvictedPart(f Fingerprint) bool {
	return f.isPart() && slices.ContainsFunc(t.convictions, func(c *partConviction) bool { return slices.Contains(c.parts, f) })
}

// isExplained reports whether the crash of an endpoint is put down to a part that the
// request does not contain.
func (t *Table) isExplained(in CheckRequest, id view.EndpointID) bool {
	return slices.ContainsFunc(t.convictions, func(c *partConviction) bool {
		return slices.Contains(c.endpoints, id) && !c.applies(in.Parts)
	})
}

func (t *Table) logConvictions(before []*partConviction) {
	for _, c := range t.convictions {
		known := slices.ContainsFunc(before, func(b *partConviction) bool {
			return slices.Equal(b.parts, c.parts) && len(b.endpoints) == len(c.endpoints)
		})
		if !known {
			ids := c.endpoints[:min(len(c.endpoints), partThreshold+rejectThreshold)]
			t.emit(Decision{"PartConvicted", []string{
				"Parts", formatFingerprints(c.parts), "FailedEndpoints", strconv.Itoa(len(c.endpoints)),
				"Endpoints", joinIDs(ids), "Until", c.until.UTC().Format(time.RFC3339Nano), "Final", strconv.FormatBool(c.final),
			}})
		}
	}
	for _, b := range before {
		convicted := slices.ContainsFunc(t.convictions, func(c *partConviction) bool { return c.parts[0] == b.parts[0] })
		if !convicted {
			delete(t.trials, b.parts[0])
			t.emit(Decision{"PartReleased", []string{"Parts", formatFingerprints(b.parts)}})
		}
	}
}

func formatFingerprints(all []Fingerprint) string {
	var s []string
	for _, f := range all {
		s = append(s, strconv.FormatUint(uint64(f), 16))
	}
	return strings.Join(s, ",")
}

func joinIDs(ids []view.EndpointID) string {
	var s []string
	for _, id := range ids {
		s = append(s, string(id))
	}
	return strings.Join(s, ",")
}
