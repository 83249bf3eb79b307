package execution

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// withholdingBackend sends nothing between the first attempt and the given instant.
type withholdingBackend struct {
	*timedBackend
	attempts atomic.Int64
	until    time.Time
}

func (b *withholdingBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	if b.attempts.Add(1) > 1 && time.Now().Before(b.until) {
		return nil, &NotSentError{Err: errors.New("the list of endpoints is too old"), Withheld: true}
	}
	return b.timedBackend.Send(ctx, a)
}

// TestBegunStreamWaitsUntilItMayBeSent guards against a stream that the router ends
// because for a moment it may send its continuation nowhere, and against avoiding
// endpoints to which it sent nothing for this reason.
func TestBegunStreamWaitsUntilItMayBeSent(t *testing.T) {
	is := is.New(t)
	backend := &withholdingBackend{
		timedBackend: &timedBackend{exchanges: []timedExchange{
			{parts: []timedPart{{0, "id: 1\n\n"}}, err: errors.New("connection reset")}, {parts: []timedPart{{0, "id: 2\n\n"}}},
		}},
		until: time.Now().Add(5 * shortPause),
	}
	decisions := []view.EndpointID{"e1"}
	for range 3 * maxUnreached {
		decisions = append(decisions, "e2")
	}
	scheduler := &scriptedScheduler{decisions: decisions}
	r, stop := newTimedRunner(t, backend, scheduler)
	out := &recordingSink{}
	is.NoErr(r.Run(t.Context(), silentCall(true), out))
	stop()
	is.True(out.complete)
	is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
	last := len(scheduler.results) - 1
	is.Equal(scheduler.results[0], schedule.ResultBroken)
	is.Equal(scheduler.results[last], schedule.ResultFinished)
	for _, result := range scheduler.results[1:last] {
		is.Equal(result, schedule.ResultUnused)
	}
	is.True(last > 1)
}

// TestWithheldAttemptIsNoFailure guards against avoiding an endpoint because this router
// could not send a new request there, and against a refusal that is late.
func TestWithheldAttemptIsNoFailure(t *testing.T) {
	is := is.New(t)
	backend := &withholdingBackend{timedBackend: &timedBackend{exchanges: []timedExchange{{}}}, until: time.Now().Add(forever)}
	backend.attempts.Add(1)
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "e2", "e3", "e1", "e1", "e1", "e1", "e1", "e1", "e1"}}
	r, stop := newTimedRunner(t, backend, scheduler)
	begun := time.Now()
	is.True(r.Run(t.Context(), silentCall(false), &recordingSink{}) != nil)
	stop()
	is.True(time.Since(begun) < time.Second)
	for _, result := range scheduler.results {
		is.Equal(result, schedule.ResultUnused)
	}
}
