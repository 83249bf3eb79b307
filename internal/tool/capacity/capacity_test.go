package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// Per-node costs may grow no faster than the logarithm of the fleet's size;
// from 45 to 180 routers that is a factor of log 180 / log 45.
const logarithmicGrowth = 1.36

func TestHeartbeatTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	small, large := heartbeat(45, 1), heartbeat(180, 1)
	is.True(large.Messages <= small.Messages*logarithmicGrowth) // messages a second
	is.True(large.Bytes <= small.Bytes*logarithmicGrowth)       // bytes a second
}

func TestEndpointWatchIsSharedByTheFleet(t *testing.T) {
	is := is.New(t)
	large := endpointWatch(360, 1)
	// Two routers poll each of 610 endpoints twice a second; rendezvous
	// hashing leaves no router more than four times its part.
	mean := 2 * 2 * float64(targetEndpoints) / targetRouters
	is.True(large.Messages > 0)
	is.True(large.Messages <= 4*mean)
}

func TestExtrapolationFollowsTheLine(t *testing.T) {
	is := is.New(t)
	p := Part{Costs: []Cost{{Routers: 45, Bytes: 100}, {Routers: 90, Bytes: 190}}}
	p.extrapolate()
	is.Equal(p.Target.Bytes, 730.0)
}
