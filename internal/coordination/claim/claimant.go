package claim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

const (
	// requestInterval is the time after which a claim request without an answer
	// is sent again.
	requestInterval = 500 * time.Millisecond
	// busyRetryDelay is the mean delay before a retry after a writer answered
	// VerdictBusy.
	busyRetryDelay = 200 * time.Millisecond
	// requestsPerWriter is the number of claim requests sent to one writer
	// before the next owner is tried.
	requestsPerWriter = 2
	// writersPerRange is the number of owners of a range that are tried in turn.
	writersPerRange = 3
	// releaseTimeout is the time after which a release that has not been
	// confirmed is no longer sent again.
	releaseTimeout = 5 * time.Minute
	// MaxDeadline bounds how far ahead the deadline of a claimed request may
	// lie, so that no request runs after its key has expired.
	MaxDeadline = claim.KeyLifetime / 2
)

// Outcome states what is known about whether a request ran.
type Outcome uint8

// The outcomes.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request has certainly not run.
	OutcomeNotRun
	// OutcomeRan means that the request ran.
	OutcomeRan
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"Unknown", "NotRun", "Ran"}[o]
}

// RefusalReason is the reason why a request was refused before it was sent.
type RefusalReason string

// The reasons for refusing a request at its claim.
const (
	RefusalDeadline RefusalReason = "ClaimDeadlinePassed"
	RefusalMismatch RefusalReason = "KeyUsedForAnotherBody"
	RefusalExpired  RefusalReason = "KeyExpired"
	RefusalLost     RefusalReason = "ClaimLost"
)

// ClaimantInput is an event that a Claimant processes.
type ClaimantInput interface{ claimantInput() }

// Begin starts the attempt to claim a request.
type Begin struct {
	Claim    claim.Claim
	Deadline time.Time
	// First is set when no other request with this key has been sent: the
	// router generated the key itself, or the caller says so. Only then does
	// a refusal without a verdict prove that the request has not run.
	First bool
}

// VerdictReceived delivers a verdict from a writer.
type VerdictReceived struct{ Verdict Verdict }

// Unsent reports that the router has sent no part of the request and never
// will. The claimant releases the claim.
type Unsent struct{ ID claim.ID }

// ReleaseOrphan reports that a claim of this router's incarnation holds its key
// although its request was abandoned before it was sent, because a delayed
// append of the claim took effect. The claimant releases the claim.
type ReleaseOrphan struct{ Claim claim.Claim }

// Sent reports that the request was sent to an endpoint, so its claim must not
// be released.
type Sent struct{ ID claim.ID }

// ViewChange replaces the view of the fleet.
type ViewChange struct{ View *view.Snapshot }

// ClaimantAlarm reports that the instant of the last Wake has come.
type ClaimantAlarm struct{}

func (Begin) claimantInput()           {}
func (VerdictReceived) claimantInput() {}
func (Unsent) claimantInput()          {}
func (ReleaseOrphan) claimantInput()   {}
func (Sent) claimantInput()            {}
func (ViewChange) claimantInput()      {}
func (ClaimantAlarm) claimantInput()   {}

// Run permits the request to run. It is issued at most once for a claim, and
// never after its deadline.
type Run struct{ ID claim.ID }

// Join reports that another claim holds the key. The router in Holder runs the
// request or has its answer.
type Join struct {
	ID     claim.ID
	Winner claim.ID
	Holder claim.Holder
}

// Refuse reports that the request must not run.
type Refuse struct {
	ID      claim.ID
	Reason  RefusalReason
	Outcome Outcome
}

// phase is the state of an attempt.
type phase uint8

const (
	phaseRequesting phase = iota
	phaseWon
	phaseReleasing
)

type attempt struct {
	claim     claim.Claim
	phase     phase
	firstSend bool
	deadline  time.Time
	// requestAt is the instant of the next claim request. owner is the first
	// owner of the range. requests counts the claim requests sent since owner
	// last changed, and selects the owner that receives the next one; a release
	// starts again from zero. VerdictBusy adds requestsPerWriter, so that the
	// next claim request goes to another owner.
	requestAt time.Time
	owner     view.RouterID
	requests  int
}

// Claimant obtains and releases the claims for the requests of one router. It
// is not safe for concurrent use.
type Claimant struct {
	view     *view.Snapshot
	random   *rand.Rand
	attempts map[claim.ID]*attempt
	timers   timerQueue
	wakeAt   time.Time
	out      []Output
}

// NewClaimant returns a claimant that draws its retry delays from random.
func NewClaimant(random *rand.Rand) *Claimant {
	return &Claimant{view: &view.Snapshot{}, random: random, attempts: map[claim.ID]*attempt{}}
}

// Step processes one input at the given instant and returns the outputs to
// carry out, in order.
func (c *Claimant) Step(now time.Time, in ClaimantInput) []Output {
	c.out = c.out[:0]
	switch in := in.(type) {
	case Begin:
		c.begin(now, in)
	case VerdictReceived:
		c.verdictReceived(now, in.Verdict.Result)
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
	c.advance(now)
	return c.out
}

// Len returns the number of claims that are being obtained or released, or
// that have won and whose requests are not yet sent.
func (c *Claimant) Len() int { return len(c.attempts) }

func (c *Claimant) begin(now time.Time, in Begin) {
	a := &attempt{claim: in.Claim, firstSend: in.First, deadline: in.Deadline}
	if limit := now.Add(MaxDeadline); a.deadline.After(limit) {
		a.deadline = limit
	}
	c.attempts[in.Claim.ID] = a
	if !now.Before(a.deadline) {
		c.refuse(a, RefusalDeadline, a.outcomeWithoutVerdict())
		delete(c.attempts, in.Claim.ID)
		return
	}
	c.schedule(a, now)
}

// outcomeWithoutVerdict returns what is known about the request while there is
// no verdict.
func (a *attempt) outcomeWithoutVerdict() Outcome {
	if a.firstSend {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

func (c *Claimant) verdictReceived(now time.Time, s claim.Result) {
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
	if a.phase != phaseRequesting {
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
		c.refuse(a, RefusalExpired, a.outcomeWithoutVerdict())
	case claim.VerdictReleased:
		c.refuse(a, RefusalLost, OutcomeUnknown)
	case claim.VerdictBusy:
		a.requests += requestsPerWriter
		c.schedule(a, now.Add(busyRetryDelay/2+time.Duration(c.random.Int64N(int64(busyRetryDelay)))))
		return
	default:
		return
	}
	delete(c.attempts, s.Claim)
}

func (c *Claimant) won(now time.Time, a *attempt) {
	if !now.Before(a.deadline) {
		// The claim won, so no earlier request with this key ran, and this one
		// does not run either.
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
		"Asks", strconv.Itoa(a.requests),
	}})
}

// release releases the claim and sends the release again until a writer
// confirms that it is in the log. If an append of the claim takes effect after
// the release, the release makes the claim void.
func (c *Claimant) release(now time.Time, a *attempt) {
	a.phase = phaseReleasing
	a.deadline = now.Add(releaseTimeout)
	a.requests = 0
	c.schedule(a, now)
}

// advance sends the claim requests that are due and ends the attempts whose
// deadline has passed.
func (c *Claimant) advance(now time.Time) {
	for {
		d, ok := c.timers.pop(now)
		if !ok {
			break
		}
		a := c.attempts[d.id]
		if a == nil || a.phase == phaseWon || !a.requestAt.Equal(d.at) {
			continue
		}
		if !now.Before(a.deadline) {
			c.expire(now, a)
			continue
		}
		c.sendRequest(now, a)
	}
	if at := c.timers.first(); !at.IsZero() && !at.Equal(c.wakeAt) {
		c.wakeAt = at
		c.emit(Wake{at})
	}
}

func (c *Claimant) expire(now time.Time, a *attempt) {
	if a.phase == phaseReleasing {
		delete(c.attempts, a.claim.ID)
		return
	}
	c.refuse(a, RefusalDeadline, a.outcomeWithoutVerdict())
	c.release(now, a)
}

func (c *Claimant) sendRequest(now time.Time, a *attempt) {
	owners := c.view.Owners(claim.Stream(a.claim.Key.Range()), writersPerRange)
	if len(owners) > 0 {
		if owners[0] != a.owner {
			a.owner, a.requests = owners[0], 0
		}
		to := owners[a.requests/requestsPerWriter%len(owners)]
		a.requests++
		c.emit(SendRequest{to, Request{Claim: a.claim, Release: a.phase == phaseReleasing, Deadline: a.deadline}})
	}
	c.schedule(a, now.Add(requestInterval))
}

// schedule sets the instant of the next claim request, which is no later than
// the deadline of the attempt.
func (c *Claimant) schedule(a *attempt, at time.Time) {
	if at.After(a.deadline) {
		at = a.deadline
	}
	a.requestAt = at
	c.timers.push(timer{at, a.claim.ID})
}

func (c *Claimant) emit(o Output) { c.out = append(c.out, o) }
