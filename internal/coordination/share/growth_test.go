package share

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

// TestAllocationsOfADecisionDoNotGrowWithTheFleet checks that a bid or a grant
// makes no more allocations at the target fleet size than at an eighth of it. A
// decision that visits all organisations or endpoints could make more.
func TestAllocationsOfADecisionDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	var bid, grant [2]float64
	for i, size := range benchSizes {
		s, now := benchScheduler(size.organisations, size.endpoints)
		bids := benchBids(s, size.organisations)
		grants := placeBids(s, now, bids)
		is.True(len(grants) > 0)
		next := 0
		bid[i] = testing.AllocsPerRun(200, func() {
			s.dispatchers.Bid(now, "b", bids[next%len(bids)])
			s.dispatchers.TakeMessages()
			next++
		})
		grant[i] = testing.AllocsPerRun(200, func() {
			now = now.Add(time.Millisecond)
			g := grants[0]
			s.dispatchers.Return(now, "b", &schedule.Return{
				Grant: g.Grant, Endpoint: g.Endpoint, Queue: g.Queue, Result: schedule.ResultNotSent, Tag: g.Virtual + 10,
			})
			grants = append(grants[1:], takeGrants(s)...)
		})
	}
	is.True(bid[1] <= bid[0]+1)     // allocations of a bid, at eight times the size
	is.True(grant[1] <= grant[0]+1) // allocations of a return and its grant
}
