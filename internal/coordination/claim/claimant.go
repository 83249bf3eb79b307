package claim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

const (
	// askInterval is the time after which an ask that was not answered is
	// sent again.
	askInterval = 500 * time.Millisecond
	// busyPause is the mean pause after a writer had no room.
	busyPause = 200 * time.Millisecond
	// asksPerWriter is the number of asks sent to a writer before the next
	// one in line is tried.
	asksPerWriter = 2
	// writersPerRange is the number of routers tried in turn.
	writersPerRange = 3
	// releaseLife is how long a release is repeated until it is confirmed.
	releaseLife = 5 * time.Minute
	// MaxDeadline bounds how far ahead the deadline of a claimed request may
	// lie, so that none runs past the life of its key.
	MaxDeadline = claim.KeyLife / 2
)

// Outcome says what is known about whether a request ran.
type Outcome uint8

// The outcomes.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request has surely not run.
	OutcomeNotRun
	// OutcomeRan means that the request ran.
	OutcomeRan
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Unknown", "NotRun", "Ran"}[o]
}

// RefusalReason tells why a request was refused before it was sent.
type RefusalReason string

// The reasons for refusing a request at its claim.
const (
	RefusalDeadline RefusalReason = "ClaimDeadlinePassed"
	RefusalMismatch RefusalReason = "KeyUsedForAnotherBody"
	RefusalExpired  RefusalReason = "KeyExpired"
	RefusalLost     RefusalReason = "ClaimLost"
)

// ClaimantInput is something that a Claimant is told.
type ClaimantInput interface{ claimantInput() }

// Begin says that a request needs a claim before it may run.
type Begin struct {
	Claim    claim.Claim
	Deadline time.Time
	// First is set when no other request with this key has been sent: the
	// router made the key up itself, or the caller says so. Only then does
	// a refusal without a verdict prove that the request has not run.
	First bool
}

// Heard brings a verdict from a writer.
type VerdictReceived struct{ Verdict Verdict }

// Unsent says that the router has surely sent nothing of the request and
// never will.
type Unsent struct{ ID claim.ID }

// Disown says that a claim of this incarnation holds its key although its
// request was given up unsent: a late append of it has landed.
type ReleaseOrphan struct{ Claim claim.Claim }

// Sent says that the request has gone to an endpoint; its claim stands.
type Sent struct{ ID claim.ID }

// ViewChange replaces the view of the routers.
type ViewChange struct{ View *view.Snapshot }

// ClaimantAlarm says that the instant asked for by Wake has come.
type ClaimantAlarm struct{}

func (Begin) claimantInput()           {}
func (VerdictReceived) claimantInput() {}
func (Unsent) claimantInput()          {}
func (ReleaseOrphan) claimantInput()   {}
func (Sent) claimantInput()            {}
func (ViewChange) claimantInput()      {}
func (ClaimantAlarm) claimantInput()   {}

// Run lets the request run. It is given at most once for a claim, and never
// after its deadline.
type Run struct{ ID claim.ID }

// Join says that another claim holds the key; its holder has the answer or
// the running request.
type Join struct {
	ID     claim.ID
	Winner claim.ID
	Holder claim.Holder
}

// Refuse says that the request must not run.
type Refuse struct {
	ID      claim.ID
	Reason  RefusalReason
	Outcome Outcome
}

// phase is the state of an attempt.
type phase uint8

const (
	phaseAsking phase = iota
	phaseWon
	phaseReleasing
)

type attempt struct {
	claim    claim.Claim
	phase    phase
	first    bool
	deadline time.Time
	// askAt is the instant of the next ask; owner is the router that owned
	// the range when asks was last zero.
	askAt time.Time
	owner view.RouterID
	asks  int
}

// Claimant asks for the claims of one router's requests. It is not safe for
// concurrent use.
type Claimant struct {
	view     *view.Snapshot
	random   *rand.Rand
	attempts map[claim.ID]*attempt
	due      dueQueue
	wakeAt   time.Time
	out      []Output
}

// NewClaimant returns a claimant that draws its pauses from the given source.
func NewClaimant(random *rand.Rand) *Claimant {
	return &Claimant{view: &view.Snapshot{}, random: random, attempts: map[claim.ID]*attempt{}}
}

// Step takes one input at the given instant and returns what is to be done,
// in order.
func (c *Claimant) Step(now time.Time, in ClaimantInput) []Output {
	c.out = c.out[:0]
	switch in := in.(type) {
	case Begin:
		c.begin(now, in)
	case VerdictReceived:
		c.heard(now, in.Verdict.Standing)
	case Unsent:
		if a := c.attempts[in.ID]; a != nil && a.phase != phaseReleasing {
			c.release(now, a)
		}
	case ReleaseOrphan:
		if c.attempts[in.Claim.ID] == nil {
			a := &attempt{claim: in.Claim}
			c.attempts[in.Claim.ID] = a
			c.release(now, a)
		}
	case Sent:
		if a := c.attempts[in.ID]; a != nil && a.phase == phaseWon {
			delete(c.attempts, in.ID)
		}
	case ViewChange:
		c.view = in.View
	case ClaimantAlarm:
		c.wakeAt = time.Time{}
	}
	c.proceed(now)
	return c.out
}

// Len returns the number of claims that are under way or being released.
func (c *Claimant) Len() int { return len(c.attempts) }

func (c *Claimant) begin(now time.Time, in Begin) {
	a := &attempt{claim: in.Claim, first: in.First, deadline: in.Deadline}
	if limit := now.Add(MaxDeadline); a.deadline.After(limit) {
		a.deadline = limit
	}
	c.attempts[in.Claim.ID] = a
	if !now.Before(a.deadline) {
		c.refuse(a, RefusalDeadline, a.outcome())
		delete(c.attempts, in.Claim.ID)
		return
	}
	c.schedule(a, now)
}

// outcome is what is known of the request while there is no verdict.
func (a *attempt) outcome() Outcome {
	if a.first {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

func (c *Claimant) heard(now time.Time, s claim.Standing) {
	a := c.attempts[s.Claim]
	if a == nil {
		return
	}
	if a.phase == phaseReleasing {
		if s.Verdict == claim.VerdictReleased {
			delete(c.attempts, s.Claim)
		}
		return
	}
	if a.phase != phaseAsking {
		return
	}
	switch s.Verdict {
	case claim.VerdictWon:
		c.won(now, a)
		return
	case claim.VerdictHeld:
		c.emit(Join{a.claim.ID, s.Winner, s.Holder})
	case claim.VerdictMismatch:
		c.refuse(a, RefusalMismatch, OutcomeNotRun)
	case claim.VerdictExpired:
		c.refuse(a, RefusalExpired, a.outcome())
	case claim.VerdictReleased:
		c.refuse(a, RefusalLost, OutcomeUnknown)
	case claim.VerdictBusy:
		a.asks += asksPerWriter
		c.schedule(a, now.Add(busyPause/2+time.Duration(c.random.Int64N(int64(busyPause)))))
		return
	default:
		return
	}
	delete(c.attempts, s.Claim)
}

func (c *Claimant) won(now time.Time, a *attempt) {
	if !now.Before(a.deadline) {
		// The key had no earlier run, and this claim runs nothing.
		c.refuse(a, RefusalDeadline, OutcomeNotRun)
		c.release(now, a)
		return
	}
	a.phase = phaseWon
	c.emit(Run{a.claim.ID})
}

func (c *Claimant) refuse(a *attempt, reason RefusalReason, outcome Outcome) {
	c.emit(Refuse{a.claim.ID, reason, outcome})
	c.emit(Decision{"ClaimRefused", []string{
		"Claim", a.claim.ID.String(), "Reason", string(reason), "Outcome", outcome.String(),
		"Asks", strconv.Itoa(a.asks),
	}})
}

// release gives the claim up and repeats that until it is known to be in the
// log. The claim may still land after its release, which then voids it.
func (c *Claimant) release(now time.Time, a *attempt) {
	a.phase = phaseReleasing
	a.deadline = now.Add(releaseLife)
	a.asks = 0
	c.schedule(a, now)
}

// proceed sends the asks that are due and ends the attempts whose deadline
// has passed.
func (c *Claimant) proceed(now time.Time) {
	for {
		d, ok := c.due.pop(now)
		if !ok {
			break
		}
		a := c.attempts[d.id]
		if a == nil || a.phase == phaseWon || !a.askAt.Equal(d.at) {
			continue
		}
		if !now.Before(a.deadline) {
			c.end(now, a)
			continue
		}
		c.ask(now, a)
	}
	if at := c.due.first(); !at.IsZero() && !at.Equal(c.wakeAt) {
		c.wakeAt = at
		c.emit(Wake{at})
	}
}

func (c *Claimant) end(now time.Time, a *attempt) {
	if a.phase == phaseReleasing {
		delete(c.attempts, a.claim.ID)
		return
	}
	c.refuse(a, RefusalDeadline, a.outcome())
	c.release(now, a)
}

func (c *Claimant) ask(now time.Time, a *attempt) {
	owners := c.view.Owners(claim.Stream(a.claim.Key.Range()), writersPerRange)
	if len(owners) > 0 {
		if owners[0] != a.owner {
			a.owner, a.asks = owners[0], 0
		}
		to := owners[a.asks/asksPerWriter%len(owners)]
		a.asks++
		c.emit(SendRequest{to, Request{Claim: a.claim, Release: a.phase == phaseReleasing, Deadline: a.deadline}})
	}
	c.schedule(a, now.Add(askInterval))
}

// schedule sets the instant of the next ask, which is no later than the
// attempt's deadline.
func (c *Claimant) schedule(a *attempt, at time.Time) {
	if at.After(a.deadline) {
		at = a.deadline
	}
	a.askAt = at
	c.due.push(due{at, a.claim.ID})
}

func (c *Claimant) emit(o Output) { c.out = append(c.out, o) }
