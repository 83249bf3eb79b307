package router

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// TestRejectedCallersReturnLaterTheFewerAreServed guards against callers that are
// told to return while nearly all of them would be rejected again.
func TestRejectedCallersReturnLaterTheFewerAreServed(t *testing.T) {
	is := is.New(t)
	is.Equal(rejectDelay(0, 0), minRejectDelay)
	is.Equal(rejectDelay(0.5, 0), 2*minRejectDelay)
	is.Equal(rejectDelay(0.99, 0), maxRejectDelay)
	is.Equal(rejectDelay(1, 1), 2*maxRejectDelay) // spread over as much time again
}

// TestBacklogIsForgottenWithoutConnections guards against a router that goes on
// rejecting connections after a flood has ended, by the backlog that it left.
func TestBacklogIsForgottenWithoutConnections(t *testing.T) {
	is := is.New(t)
	var c overloadController
	answer := func(_, retryAt time.Time) []byte {
		is.True(time.Until(retryAt) > 0)
		return []byte("rejected")
	}
	r := newRejecter(&c, nil, answer, log.Log, metrics.NewRegistry())
	for range 100 {
		r.Observe(time.Second)
		c.Observe(0)
	}
	is.True(r.Observe(time.Second))
	r.Reject(nil)
	is.True(r.Reject(nil)) // at most one in a hundred is not rejected
	is.Equal(string(r.Answer()), "rejected")
	is.Equal(r.count.Count(), int64(1))
	time.Sleep(maxBacklogAge)
	for range 100 {
		c.Observe(0)
	}
	is.Equal(c.Fraction(), 0.0)
}
