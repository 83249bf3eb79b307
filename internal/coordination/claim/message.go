package claim

import (
	"time"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

// Ask asks the writer of a key range to append a claim or its release.
type Request struct {
	Claim claim.Claim
	// Release gives the claim up instead of making it.
	Release bool
	// Deadline is the instant after which the verdict is of no use. It is
	// read on another clock, so it only bounds how long the writer tries.
	Deadline time.Time
}

// Verdict answers an Ask.
type Verdict struct {
	Standing claim.Standing
}

// Output is something that a Claimant or a Writer asks of its router.
type Output interface{ claimOutput() }

// SendAsk delivers an Ask to the writer at another router, or at this one.
type SendRequest struct {
	To      view.RouterID
	Request Request
}

// SendVerdict delivers a Verdict to the claimant at a router.
type SendVerdict struct {
	To      view.RouterID
	Verdict Verdict
}

// Append asks for a batch to be appended to the range's stream. It is
// answered by Appended or AppendFailed with the same token.
type Append struct {
	Range int
	Token uint64
	Batch claim.Batch
}

// Read asks for the records from an offset on, waiting for them if Wait is
// set. It is answered by Records, Gone or ReadFailed, and only one is under
// way at a time.
type Read struct {
	Range int
	From  uint64
	Wait  bool
}

// Wake asks for an Alarm at the given instant, replacing any earlier one.
type Wake struct{ At time.Time }

// Decision asks for a log line about something decided here.
type Decision struct {
	Event string
	// Fields are alternating keys and values.
	Fields []string
}

func (SendRequest) claimOutput() {}
func (SendVerdict) claimOutput() {}
func (Append) claimOutput()      {}
func (Read) claimOutput()        {}
func (Wake) claimOutput()        {}
func (Decision) claimOutput()    {}
func (Run) claimOutput()         {}
func (Join) claimOutput()        {}
func (Refuse) claimOutput()      {}
