package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/text"
)

// TestContinuationHasTimeLeft guards against looking for the continuation of a stream
// only when its caller is about to give up, or while most of its patience is left.
func TestContinuationHasTimeLeft(t *testing.T) {
	for _, test := range []struct{ objective, patience, want time.Duration }{
		{500 * time.Millisecond, 3200 * time.Millisecond, 2200 * time.Millisecond},
		{500 * time.Millisecond, 2 * time.Second, time.Second},
		{800 * time.Millisecond, 3200 * time.Millisecond, 1600 * time.Millisecond},
		{100 * time.Millisecond, 3200 * time.Millisecond, 2400 * time.Millisecond},
		{0, 2 * time.Second, 1500 * time.Millisecond},
		{0, 0, 0}, // the patience is not known
	} {
		is := is.New(t)
		is.Equal(maxSilence(&route.Route{Objective: test.objective, Patience: test.patience}), test.want)
	}
}

// TestCallLeavesTimeToAnswerItsCaller guards against a call whose failure reaches its
// caller only after that has stopped waiting, and against one that is ended early although
// its caller waits on or has hardly any time.
func TestCallLeavesTimeToAnswerItsCaller(t *testing.T) {
	now := time.Now()
	for _, test := range []struct{ deadline, timeout, answerBy time.Duration }{
		{time.Second, 0, time.Second - answerMargin},
		{time.Second, time.Second, time.Second - answerMargin},
		{time.Second, 900 * time.Millisecond, 0}, // the caller waits beyond the route's timeout
		{0, time.Second, 0},
		{answerMargin * minMarginFactor / 2, time.Second, 0},
	} {
		is := is.New(t)
		request := &IncomingRequest{}
		if test.deadline > 0 {
			request.Deadline = now.Add(test.deadline)
		}
		matched := &route.Route{Timeout: test.timeout, Targets: []route.Target{{Service: &text.Service{}, Weight: 1}}}
		call := newCall(request, matched, &text.Organisation{}, now)
		is.Equal(call.AnswerBy.IsZero(), test.answerBy == 0)
		if test.answerBy > 0 {
			is.Equal(call.AnswerBy, now.Add(test.answerBy))
		}
	}
}
