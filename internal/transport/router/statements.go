package router

import (
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/state/view"
)

// MetricLeavingStatements counts the endpoints of which this router first learnt from
// an answer that they leave.
const MetricLeavingStatements = "LeavingStatements"

// EndpointLeaves records that an endpoint has stated, in the answer to the given
// request, that it leaves. When it returns, no attempt is sent to the endpoint any
// more; attempts that have been sent continue.
func (c *Core) EndpointLeaves(id view.EndpointID, requestID string) {
	if e, ok := c.fleet.View().Endpoint(id); ok && e.Leaving {
		return
	}
	if !c.sources.recordLeaving(id) {
		return
	}
	metrics.GetOrRegisterCounter(MetricLeavingStatements, c.options.Registry).Inc(1)
	c.logger.WithFields(log.Fields{
		"Endpoint": id, "Source": "Answer", "RequestID": requestID, "EndpointsAge": c.sources.listAge(),
	}).Info("EndpointLeaving")
}
