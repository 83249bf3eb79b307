package claim

import (
	"time"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

// Request asks the writer of a key range to append a claim or its release.
type Request struct {
	Claim claim.Claim
	// Release is set to release the claim instead of making it.
	Release bool
	// Deadline is the instant after which the claimant ignores the verdict.
	// It comes from another router's clock, so the writer uses it only to
	// bound how long it tries.
	Deadline time.Time
}

// Verdict answers a Request.
type Verdict struct {
	Result claim.Result
}

// Output is an action that a Claimant or a Writer requests from its router.
type Output interface{ claimOutput() }

// SendRequest sends a Request to the writer at another router, or at this one.
type SendRequest struct {
	To      view.RouterID
	Request Request
}

// SendVerdict sends a Verdict to the claimant at a router.
type SendVerdict struct {
	To      view.RouterID
	Verdict Verdict
}

// Append requests that a batch be appended to the stream of the range. It is
// answered by Appended or AppendFailed with the same token.
type Append struct {
	Range int
	Token uint64
	Batch claim.Batch
}

// Read requests the records from an offset on, and waits for new ones if Wait
// is set. It is answered by Records, OffsetTrimmed or ReadFailed. At most one
// Read is in flight at a time.
type Read struct {
	Range int
	From  uint64
	Wait  bool
}

// Wake requests a ClaimantAlarm or WriterAlarm at the given instant and
// replaces any earlier Wake.
type Wake struct{ At time.Time }

// Decision requests a log line about a decision of the machine.
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
