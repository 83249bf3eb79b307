package router

import (
	"context"
	"net/http"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
)

// idempotentOnly refuses what may not be run twice, since without claims in
// the log nothing would keep a resent request from running again.
type idempotentOnly struct{ executor entry.Executor }

// Run runs an idempotent call and refuses any other.
func (i idempotentOnly) Run(ctx context.Context, c *execution.Call, sink execution.Sink) error {
	if c.Class.Idempotent {
		return i.executor.Run(ctx, c, sink)
	}
	return &caller.Problem{
		Title: "The request was refused", Status: http.StatusServiceUnavailable,
		Detail: "this router cannot claim requests that are not idempotent", NotRun: caller.NotRunTrue,
		Step: "Claim", RequestID: c.RequestID,
	}
}
