package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// benchSizes are the fleet sizes at which a bid, a grant and a charge are
// measured: an eighth of the target size, and the target size.
var benchSizes = []struct{ organisations, endpoints int }{{122, 76}, {980, 610}}

func benchScheduler(organisations, endpoints int) (*Scheduler, time.Time) {
	s := New(Options{Source: rand.NewPCG(1, 1)}).(*Scheduler)
	now := time.Unix(1_000_000, 0)
	v := &view.Snapshot{Self: "a", Routers: []view.Router{{ID: "a"}, {ID: "b"}}, Organisations: map[string]view.Organisation{}}
	for i := range endpoints {
		// Router b owns about half of the endpoints, so about half of the bids
		// are sent to it.
		v.Endpoints = append(v.Endpoints, view.Endpoint{ID: view.EndpointID(fmt.Sprintf("e%03d", i)), Pool: "p"})
	}
	for i := range organisations {
		name := organisation(i)
		v.Organisations[name] = view.Organisation{Name: name, Weight: 1}
	}
	s.Step(now, schedule.Change{View: v})
	now = now.Add(time.Second)
	s.Step(now, schedule.Alarm{})
	return s, now
}

func organisation(i int) string { return fmt.Sprintf("organisation%03d", i) }

// BenchmarkBid processes a bid of another router for an endpoint at which all
// organisations have bids.
func BenchmarkBid(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d/endpoints=%d", size.organisations, size.endpoints), func(b *testing.B) {
			s, now := benchScheduler(size.organisations, size.endpoints)
			bids := benchBids(s, size.organisations)
			placeBids(s, now, bids)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.dispatchers.Bid(now, "b", bids[i%len(bids)])
				s.dispatchers.TakeMessages()
			}
		})
	}
}

// BenchmarkGrant returns a slot, which the dispatcher grants to the next
// organisation.
func BenchmarkGrant(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d/endpoints=%d", size.organisations, size.endpoints), func(b *testing.B) {
			s, now := benchScheduler(size.organisations, size.endpoints)
			bids := benchBids(s, size.organisations)
			grants := placeBids(s, now, bids)
			if len(grants) == 0 {
				b.Fatal("no grant to return")
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				g := grants[0]
				s.dispatchers.Return(now, "b", &schedule.Return{
					Grant: g.Grant, Endpoint: g.Endpoint, Queue: g.Queue, Result: schedule.ResultNotSent, Tag: g.Virtual + 10,
				})
				grants = append(grants[1:], takeGrants(s)...)
				if len(grants) == 0 {
					b.Fatal("the returned slot was not granted again")
				}
			}
		})
	}
}

// BenchmarkCharge records service received by a request.
func BenchmarkCharge(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d/endpoints=%d", size.organisations, size.endpoints), func(b *testing.B) {
			s, now := benchScheduler(size.organisations, size.endpoints)
			for i := range size.organisations {
				s.Step(now, schedule.Arrival{Request: schedule.Request{
					ID: schedule.RequestID(i), Organisation: organisation(i), Pool: "p", MayWait: true, Estimate: 10,
				}})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.bidder.Progress(schedule.Progress{ID: schedule.RequestID(i % size.organisations), Service: 1})
			}
		})
	}
}

// benchBids returns a bid of each organisation for one endpoint that the
// benchmarked router dispatches.
func benchBids(s *Scheduler, organisations int) []*schedule.Bid {
	var endpoint view.EndpointID
	for _, e := range s.view.Endpoints {
		if owner, _ := s.view.Owner(string(e.ID)); owner == s.view.Self {
			endpoint = e.ID
		}
	}
	bids := make([]*schedule.Bid, organisations)
	for i := range bids {
		bids[i] = &schedule.Bid{
			Endpoint: endpoint, Queue: schedule.QueueKey{Organisation: organisation(i)},
			Waiting: 1 << 30, Reserve: 10, Tag: float64(i % 7),
		}
	}
	return bids
}

// placeBids processes the bids of router b and returns the resulting grants.
func placeBids(s *Scheduler, now time.Time, bids []*schedule.Bid) []*schedule.Grant {
	var grants []*schedule.Grant
	for _, bid := range bids {
		s.dispatchers.Bid(now, "b", bid)
		grants = append(grants, takeGrants(s)...)
	}
	return grants
}

// takeGrants returns the grants among the pending messages, and discards the
// other messages.
func takeGrants(s *Scheduler) []*schedule.Grant {
	var grants []*schedule.Grant
	for _, m := range s.dispatchers.TakeMessages() {
		if g, ok := m.Message.(*schedule.Grant); ok {
			grants = append(grants, g)
		}
	}
	return grants
}
