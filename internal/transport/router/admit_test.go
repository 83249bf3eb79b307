package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/view"
)

// TestRouteWithoutServiceIsRefused guards against a request that gets neither an answer nor a
// refusal, because a configuration has a route that leads to no service and the handler fails.
func TestRouteWithoutServiceIsRefused(t *testing.T) {
	is := is.New(t)
	r := startHostedFleet(t, &store{version: 1, refused: map[view.RouterID]bool{}}, 1)[0]
	_, problem := r.core.Admit(&IncomingRequest{ID: "1", Host: "h", Path: "/nowhere/x"}, time.Now())
	is.True(problem != nil)
	is.Equal(problem.Status, http.StatusServiceUnavailable)
	is.Equal(problem.NotRun, caller.NotRunTrue)
	is.True(!problem.RetryAt.IsZero())
}
