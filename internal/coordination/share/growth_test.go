package share

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

// A decision allocates no more at the target size than at an eighth of it.
func TestAllocationsOfADecisionDoNotGrow(t *testing.T) {
	is := is.New(t)
	var bid, grant [2]float64
	for i, size := range benchSizes {
		s, now := benchScheduler(size.organisations, size.endpoints)
		bids := benchBids(s, size.organisations)
		grants := fill(s, now, bids)
		is.True(len(grants) > 0)
		next := 0
		bid[i] = testing.AllocsPerRun(200, func() {
			s.table.Bid(now, "b", bids[next%len(bids)])
			s.table.TakeMessages()
			next++
		})
		grant[i] = testing.AllocsPerRun(200, func() {
			now = now.Add(time.Millisecond)
			g := grants[0]
			s.table.Return(now, "b", &schedule.Return{
				Grant: g.Grant, Endpoint: g.Endpoint, Queue: g.Queue, Result: schedule.ResultNotSent, Tag: g.Virtual + 10,
			})
			grants = append(grants[1:], granted(s)...)
		})
	}
	is.True(bid[1] <= bid[0]+1)     // allocations of a bid, at eight times the size
	is.True(grant[1] <= grant[0]+1) // allocations of a return and its grant
}
