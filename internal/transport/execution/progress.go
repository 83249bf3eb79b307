package execution

import (
	"slices"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// progress is how far a call has come over its attempts.
type progress struct {
	call  *Call
	tries int
	// arrived is the number of attempts that reached an endpoint.
	arrived int
	// ran is set once an attempt may have run.
	ran   bool
	tried []view.EndpointID
	// lastEvent is the id of the last event passed on; empty for none.
	lastEvent string
	// events is the number of events passed on.
	events int
	// paid is set while a further attempt has been taken from the budget.
	paid bool
}

// failed notes an attempt that did not end with a whole answer.
func (p *progress) failed(e view.EndpointID, result schedule.Result) {
	*p = *p.after(result)
	p.tried = append(slices.Clip(p.tried), e)
}

// after returns the progress as it will be when the attempt under way has
// ended so.
func (p *progress) after(result schedule.Result) *progress {
	next := *p
	next.tries++
	if result != schedule.ResultNotSent {
		next.arrived++
	}
	if result != schedule.ResultNotSent && result != schedule.ResultRejected {
		next.ran = true
	}
	return &next
}

// resumes reports whether an answer that has begun can be continued.
func (p *progress) resumes() bool {
	return p.call.Resumable && p.events > 0 && p.lastEvent != ""
}
