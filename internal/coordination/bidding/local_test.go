package bidding_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/bidding"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// roomy is a local dispatcher that has room and has lost every bid.
type roomy struct{}

func (roomy) UnclaimedSlots(time.Time, view.EndpointID) int  { return 1 }
func (roomy) LowestServed(time.Time, string) (float64, bool) { return 0, false }

// TestBidLostByTheOwnDispatcherIsToldAgain is the case of a request that
// waited until its deadline while its own router had room.
func TestBidLostByTheOwnDispatcherIsToldAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	b := bidding.New(bidding.Options{}, rand.New(rand.NewPCG(1, 1)), roomy{})
	b.Change(now, &view.Snapshot{
		Self: "a", Routers: []view.Router{{ID: "a"}}, Endpoints: []view.Endpoint{{ID: "e", Pool: "p"}},
		Organisations: map[string]view.Organisation{"o": {Name: "o", Weight: 1}},
	}, map[view.EndpointID]view.RouterID{"e": "a"})
	b.Arrive(now, schedule.Request{ID: 1, Organisation: "o", Pool: "p", MayWait: true, Deadline: now.Add(time.Hour)})
	bids := 0
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		b.Tick(now)
		for _, out := range b.TakeOutputs() {
			if sent, ok := out.(schedule.Send); ok {
				if _, ok := sent.Message.(*schedule.Bid); ok {
					bids++
				}
			}
		}
	}
	is.True(bids > 1)
}
