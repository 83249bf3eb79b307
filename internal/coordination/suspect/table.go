package suspect

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// evidenceLife is how long a failure counts against a request.
	evidenceLife = 15 * time.Minute
	// convicting is the number of endpoints whose failure convicts.
	convicting = 2
	// maxCases bounds the fingerprints that are remembered.
	maxCases = 4096
	// newsLength bounds the evidence of one message.
	newsLength = 256
	// repeatFirst is the time after which news is sent again, because its
	// first send may have met a broken link. Each further repeat comes after
	// twice the time of the one before, while the evidence counts.
	repeatFirst = time.Second
	// askEvery is the time after which a permit is asked for again.
	askEvery = 200 * time.Millisecond
	// skewAllowance is the difference allowed between two routers' clocks.
	skewAllowance = time.Second
	// ownersPerCase is the number of routers that answer for a fingerprint.
	ownersPerCase = 2
)

// file is what is known of one fingerprint: the evidence by endpoint.
type file struct {
	evidence map[view.EndpointID]*Evidence
	until    time.Time
	// origin is set if this router saw a failure itself; it then repeats
	// the news at repeatAt.
	origin   bool
	repeatAt time.Time
	pause    time.Duration
	// permit is the router that runs the suspect, as its owner knows.
	permit      view.RouterID
	permitUntil time.Time
	// mine is set while this router holds the permit that owner granted.
	mine  bool
	owner view.RouterID
}

// trial is a Judge that awaits a permit.
type trial struct {
	CheckRequest
	askAt time.Time
	// at is the owner in line that is asked, and silent is set while it has
	// not answered; a silent owner is passed over.
	at     int
	silent bool
}

// Table keeps the evidence that one router knows. It is not safe for
// concurrent use.
type Table struct {
	self   view.RouterID
	view   *view.Snapshot
	files  map[Fingerprint]*file
	trials []*trial
	// tellings are the failures whose callers wait until all routers know.
	tellings []*telling
	wakeAt   time.Time
	out      []Output
}

// New returns an empty table of the given router.
func New(self view.RouterID) *Table {
	return &Table{self: self, view: &view.Snapshot{Self: self}, files: map[Fingerprint]*file{}}
}

// Step takes one input at the given instant and returns what is to be done,
// in order. The returned slice is valid until the next Step.
func (t *Table) Step(now time.Time, in Input) []Output {
	t.out = t.out[:0]
	if t.unsuspected(now, in) {
		return t.out
	}
	switch in := in.(type) {
	case CheckRequest:
		t.judge(now, in)
	case Withdraw:
		t.trials = slices.DeleteFunc(t.trials, func(r *trial) bool { return r.ID == in.ID })
	case EndpointFailed:
		t.broken(now, in)
	case RunEnded:
		t.ended(now, in)
	case EndpointAlive:
		t.alive(now, in)
	case Delivery:
		t.deliver(now, in)
	case Change:
		t.change(in.View)
	case Alarm:
		t.wakeAt = time.Time{}
	}
	t.proceed(now)
	return t.out
}

// unsuspected answers at once for requests without evidence, which are nearly
// all, so that they cost no more than a lookup.
func (t *Table) unsuspected(now time.Time, in Input) bool {
	switch in := in.(type) {
	case CheckRequest:
		if t.files[in.Fingerprint] == nil {
			t.emit(CheckResult{ID: in.ID, Verdict: VerdictFree})
			return true
		}
	case RunEnded:
		return t.files[in.Fingerprint] == nil
	case EndpointAlive:
		return len(t.files) == 0
	}
	return false
}

// Len returns the number of fingerprints with evidence.
func (t *Table) Len() int { return len(t.files) }

// count returns the endpoints whose failure counts against a fingerprint.
func (t *Table) count(now time.Time, f Fingerprint) int {
	n := 0
	if c := t.files[f]; c != nil {
		for _, e := range c.evidence {
			if !e.Cleared && now.Before(e.Until) {
				n++
			}
		}
	}
	return n
}

func (t *Table) judge(now time.Time, in CheckRequest) {
	if t.decide(now, in) {
		return
	}
	t.trials = append(t.trials, &trial{CheckRequest: in, askAt: now})
}

// decide answers a judge if no permit is needed.
func (t *Table) decide(now time.Time, in CheckRequest) bool {
	switch n := t.count(now, in.Fingerprint); {
	case n == 0:
		t.emit(CheckResult{ID: in.ID, Verdict: VerdictFree})
	case n >= convicting:
		t.emit(CheckResult{ID: in.ID, Verdict: VerdictRejected, Until: t.files[in.Fingerprint].until})
	default:
		return false
	}
	return true
}

func (t *Table) broken(now time.Time, in EndpointFailed) {
	e := Evidence{
		Fingerprint: in.Fingerprint, Endpoint: in.Endpoint,
		At: now, Until: now.Add(evidenceLife),
	}
	if t.learn(now, e) {
		t.files[in.Fingerprint].originate(now)
	}
	// Evidence that another router has learnt first may not have spread yet.
	t.tellAll(now, in, e)
}

// originate makes this router repeat the news of a file.
func (c *file) originate(now time.Time) {
	c.origin, c.pause, c.repeatAt = true, repeatFirst, now.Add(repeatFirst)
}

// ended gives a permit back and, after a whole answer, clears the request.
func (t *Table) ended(now time.Time, in RunEnded) {
	c := t.files[in.Fingerprint]
	if c == nil {
		return
	}
	if in.Finished && t.count(now, in.Fingerprint) > 0 {
		t.clear(now, c, func(*Evidence) bool { return true })
	}
	if c.mine {
		c.mine = false
		t.send(now, c.owner, PermitRelease{in.Fingerprint})
	}
}

// alive clears what counts against requests because of an endpoint that has
// not died. Everyone who hears from the endpoint does so alone; only those
// that answer for a fingerprint spread it.
func (t *Table) alive(now time.Time, in EndpointAlive) {
	for _, f := range sortedKeys(t.files) {
		c := t.files[f]
		e := c.evidence[in.Endpoint]
		if e == nil || e.Cleared || !in.ProbedAt.After(e.At.Add(skewAllowance)) {
			continue
		}
		if c.origin || slices.Contains(t.owners(f), t.self) {
			t.clear(now, c, func(x *Evidence) bool { return x == e })
			continue
		}
		e.Cleared = true
	}
}

func (t *Table) clear(now time.Time, c *file, which func(*Evidence) bool) {
	var news []Evidence
	for _, id := range sortedKeys(c.evidence) {
		e := c.evidence[id]
		if e.Cleared || !which(e) {
			continue
		}
		e.Cleared = true
		news = append(news, *e)
	}
	c.originate(now)
	for i := range news {
		t.emit(Decision{"SuspectCleared", fields(&news[i])})
	}
	t.spread(news)
}

// learn adds evidence and reports whether it was new.
func (t *Table) learn(now time.Time, e Evidence) bool {
	if !now.Before(e.Until) || e.Until.After(now.Add(2*evidenceLife)) {
		return false
	}
	c := t.files[e.Fingerprint]
	if c == nil {
		t.makeRoom()
		c = &file{evidence: map[view.EndpointID]*Evidence{}}
		t.files[e.Fingerprint] = c
	}
	if e.Until.After(c.until) {
		c.until = e.Until
	}
	known := c.evidence[e.Endpoint]
	switch {
	case known == nil:
		c.evidence[e.Endpoint] = &e
	case e.Cleared && !known.Cleared:
		known.Cleared = true
		return true
	default:
		return false
	}
	if !e.Cleared {
		event := "RequestSuspected"
		if t.count(now, e.Fingerprint) >= convicting {
			event = "RequestConvicted"
		}
		t.emit(Decision{event, fields(&e)})
	}
	return true
}

// makeRoom forgets the file that expires first when there are too many.
func (t *Table) makeRoom() {
	if len(t.files) < maxCases {
		return
	}
	var first Fingerprint
	var at time.Time
	for f, c := range t.files {
		if at.IsZero() || c.until.Before(at) || c.until.Equal(at) && f < first {
			first, at = f, c.until
		}
	}
	delete(t.files, first)
}

func (t *Table) deliver(now time.Time, in Delivery) {
	switch m := in.Message.(type) {
	case EvidenceUpdate:
		for _, e := range m.Evidence {
			t.learn(now, e)
			if m.Reply {
				t.send(now, in.From, EvidenceAck{e.Fingerprint, e.Endpoint})
			}
		}
	case EvidenceAck:
		t.taken(in.From, m)
	case PermitRequest:
		t.asked(now, in.From, m)
	case PermitReply:
		t.permitted(now, in.From, m)
	case PermitRelease:
		if c := t.files[m.Fingerprint]; c != nil && c.permit == in.From {
			c.permit = ""
		}
	}
}

// change tells routers that have started anew what this router answers for.
func (t *Table) change(v *view.Snapshot) {
	known := map[view.RouterID]uint64{}
	for i := range t.view.Routers {
		known[t.view.Routers[i].ID] = t.view.Routers[i].Incarnation
	}
	t.view = v
	t.forgetGone()
	var news []Evidence
	for _, f := range sortedKeys(t.files) {
		if slices.Contains(t.owners(f), t.self) {
			c := t.files[f]
			for _, id := range sortedKeys(c.evidence) {
				news = append(news, *c.evidence[id])
			}
		}
	}
	for i := range v.Routers {
		r := &v.Routers[i]
		if r.ID != t.self && known[r.ID] != r.Incarnation {
			t.tell(r.ID, news)
		}
	}
}

func (t *Table) owners(f Fingerprint) []view.RouterID {
	return t.view.Owners("suspect/"+strconv.FormatUint(uint64(f), 16), ownersPerCase)
}

func (t *Table) lives(id view.RouterID) bool {
	return id == t.self || slices.ContainsFunc(t.view.Routers, func(r view.Router) bool { return r.ID == id })
}

func (t *Table) spread(news []Evidence) {
	for i := range t.view.Routers {
		if id := t.view.Routers[i].ID; id != t.self {
			t.tell(id, news)
		}
	}
}

func (t *Table) tell(to view.RouterID, news []Evidence) {
	for part := range slices.Chunk(news, newsLength) {
		t.emit(Send{to, EvidenceUpdate{Evidence: part}})
	}
}

// send delivers a message, to this router itself at once.
func (t *Table) send(now time.Time, to view.RouterID, m Message) {
	if to == t.self {
		t.deliver(now, Delivery{t.self, m})
		return
	}
	t.emit(Send{to, m})
}

// proceed decides trials, repeats news and forgets what has expired.
func (t *Table) proceed(now time.Time) {
	t.tryPermits(now)
	var at time.Time
	sooner := func(i time.Time) {
		if at.IsZero() || i.Before(at) {
			at = i
		}
	}
	for _, f := range sortedKeys(t.files) {
		c := t.files[f]
		if !now.Before(c.until) {
			delete(t.files, f)
			continue
		}
		if c.origin {
			if !now.Before(c.repeatAt) {
				t.repeat(now, c)
			}
			sooner(c.repeatAt)
		}
		sooner(c.until)
	}
	for _, r := range t.trials {
		sooner(r.askAt)
	}
	if next := t.proceedTelling(now); !next.IsZero() {
		sooner(next)
	}
	if !at.IsZero() && !at.Equal(t.wakeAt) {
		t.wakeAt = at
		t.emit(Wake{at})
	}
}

func (t *Table) repeat(now time.Time, c *file) {
	c.pause *= 2
	c.repeatAt = now.Add(c.pause)
	var news []Evidence
	for _, id := range sortedKeys(c.evidence) {
		news = append(news, *c.evidence[id])
	}
	t.spread(news)
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
