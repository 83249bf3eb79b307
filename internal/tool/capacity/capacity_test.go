package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// logarithmicGrowth is the ratio log 180 / log 45. From 45 to 180 routers, the
// cost per node may grow at most by this factor, which means no faster than the
// logarithm of the fleet's size.
const logarithmicGrowth = 1.36

// TestHeartbeatTrafficGrowsLogarithmically guards against heartbeats whose
// number or size per router grows in proportion to the fleet.
func TestHeartbeatTrafficGrowsLogarithmically(t *testing.T) {
	is := is.New(t)
	small, large := heartbeat(45, 1), heartbeat(180, 1)
	is.True(large.Messages <= small.Messages*logarithmicGrowth) // messages per second
	is.True(large.Bytes <= small.Bytes*logarithmicGrowth)       // bytes per second
}

// TestEndpointPollsAreBalancedAcrossRouters guards against a router that polls
// far more endpoints than its share.
func TestEndpointPollsAreBalancedAcrossRouters(t *testing.T) {
	is := is.New(t)
	large := endpointWatch(360, 1)
	// Two routers poll each of 610 endpoints twice per second. Rendezvous
	// hashing assigns no router more than four times the mean.
	mean := 2 * 2 * float64(targetEndpoints) / targetRouters
	is.True(large.Messages > 0)
	is.True(large.Messages <= 4*mean)
}

// TestExtrapolationIsLinear guards against a cost at target size that does not
// lie on the line through the measured costs.
func TestExtrapolationIsLinear(t *testing.T) {
	is := is.New(t)
	p := Part{Costs: []Cost{{Routers: 45, Bytes: 100}, {Routers: 90, Bytes: 190}}}
	p.extrapolateTarget()
	is.Equal(p.Target.Bytes, 730.0)
}
