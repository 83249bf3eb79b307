package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

var start = time.Unix(1_000_000, 0)

// afterHold is the instant at which a new dispatcher begins to grant.
var afterHold = start.Add(takeoverHold)

func snapshot(routers ...view.RouterID) *view.Snapshot {
	v := &view.Snapshot{Self: "self", Endpoints: []view.Endpoint{{ID: "e", Pool: "p"}}}
	for _, id := range routers {
		v.Routers = append(v.Routers, view.Router{ID: id, Incarnation: 1})
	}
	return v
}

var owners = map[view.EndpointID]view.RouterID{"e": "self"}

func newDispatchers() *Dispatchers {
	t := New(rand.New(rand.NewPCG(1, 1)))
	t.Change(start, snapshot("self", "r1", "r2"), owners)
	return t
}

func bidOf(organisation string, waiting int, tag float64) *schedule.Bid {
	return &schedule.Bid{
		Endpoint: "e", Queue: schedule.QueueKey{Organisation: organisation}, Waiting: waiting, Tag: tag, Reserve: 10,
	}
}

func grants(t *Dispatchers) []*schedule.Grant {
	var list []*schedule.Grant
	for _, m := range t.TakeMessages() {
		if g, ok := m.Message.(*schedule.Grant); ok {
			list = append(list, g)
		}
	}
	return list
}

func returnUnused(t *Dispatchers, now time.Time, from view.RouterID, g *schedule.Grant) {
	t.Return(now, from, &schedule.Return{Grant: g.Grant, Endpoint: "e", Queue: g.Queue, Result: schedule.ResultNotSent})
}

func TestLowestCounterIsServedFirst(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	d.Bid(start, "r1", bidOf("ahead", 9, 500)) // within the hold: nothing is granted yet
	d.Bid(start, "r2", bidOf("behind", 9, 480))
	is.Equal(len(grants(d)), 0)
	d.Tick(afterHold)
	got := grants(d)
	is.Equal(len(got), initialLimit)
	for i, want := range []string{"behind", "behind"} {
		is.Equal(got[i].Queue.Organisation, want) // a grant counts against its organisation at once
	}
	is.Equal(got[2].Virtual, 500.0)
	is.Equal(got[3].Virtual, 500.0)
}

func TestUrgencyOrdersWithinAnOrganisationOnly(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	ordinary, urgent, other := bidOf("o", 9, 0), bidOf("o", 1, 0), bidOf("x", 9, 1)
	urgent.Queue.Model, urgent.Urgency = "m", 5
	other.Urgency = 9
	d.Bid(start, "r1", ordinary)
	d.Bid(start, "r2", urgent)
	d.Bid(start, "r2", other)
	d.Tick(afterHold)
	got := grants(d)
	is.Equal(got[0].Queue, urgent.Queue)
	is.Equal(got[1].Queue.Organisation, "x")
	is.Equal(got[2].Queue, ordinary.Queue)
}

func TestRestatedBidSubtractsGrantsInFlight(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	d.Bid(afterHold, "r1", bidOf("o", 2, 0))
	is.Equal(len(grants(d)), 2)
	d.Bid(afterHold, "r1", bidOf("o", 3, 0)) // sent before the grants arrived
	is.Equal(len(grants(d)), 1)
	lost := bidOf("o", 3, 0)
	lost.Resync = true
	d.Bid(afterHold, "r1", lost)
	is.Equal(len(grants(d)), initialLimit-3) // up to the limit
	d.Bid(afterHold, "r1", bidOf("o", 0, 0))
	is.Equal(len(d.dispatchers["e"].bids.queues), 0)
}

func TestSlotsOfALostRouterAreFreed(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	d.Bid(afterHold, "r1", bidOf("o", 99, 0))
	is.Equal(len(grants(d)), initialLimit)
	d.Bid(afterHold, "r2", bidOf("x", 99, 0))
	is.Equal(len(grants(d)), 0) // full
	d.Change(afterHold, snapshot("self", "r2"), owners)
	d.Tick(afterHold)
	got := grants(d)
	is.Equal(len(got), initialLimit)
	is.Equal(got[0].Queue.Organisation, "x")
}

func TestGrantsExpireUnlessRenewed(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	d.Bid(afterHold, "r1", bidOf("o", 2, 0))
	got := grants(d)
	later := afterHold.Add(2 * time.Second)
	renewal := &schedule.Renewal{Endpoint: "e", Running: []schedule.Running{{Grant: got[0].Grant, Queue: got[0].Queue}}}
	d.Renew(later, "r1", renewal)
	is.Equal(len(d.dispatchers["e"].grants), 1) // the other grant was lost in transit
	d.Tick(later.Add(grantLifetime))
	is.Equal(len(d.dispatchers["e"].grants), 0)
}

func TestNewDispatcherCountsRenewedGrants(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	m := &schedule.Renewal{Endpoint: "e"}
	for i := range 6 {
		m.Running = append(m.Running, schedule.Running{Grant: schedule.GrantID(100 + i)})
	}
	d.Renew(start, "r1", m)
	d.Bid(start, "r2", bidOf("o", 9, 0))
	d.Tick(afterHold)
	is.Equal(len(grants(d)), 0) // the renewed grants fill the limit
	returnUnused(d, afterHold, "r1", &schedule.Grant{Grant: 100})
	is.Equal(len(grants(d)), 1)
	returnUnused(d, afterHold, "r1", &schedule.Grant{Grant: 100})
	is.Equal(len(grants(d)), 0) // a slot is freed once
}

func TestOneExclusiveRequestAtATime(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	suspect := bidOf("o", 3, 0)
	suspect.Queue.Exclusive = true
	d.Bid(afterHold, "r1", suspect)
	got := grants(d)
	is.Equal(len(got), 1)
	d.Bid(afterHold, "r2", bidOf("x", 1, 50))
	is.Equal(len(grants(d)), 1) // other queues still get slots
	returnUnused(d, afterHold, "r1", got[0])
	is.Equal(len(grants(d)), 1)
}

func TestLeavingEndpointGetsNoGrants(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	v := snapshot("self", "r1")
	v.Endpoints[0].Leaving = true
	d.Change(afterHold, v, owners)
	d.Bid(afterHold.Add(takeoverHold), "r1", bidOf("o", 3, 0))
	is.Equal(len(grants(d)), 0)
}

func TestShortageIsAnnouncedAtGrowingIntervals(t *testing.T) {
	is := is.New(t)
	d := newDispatchers()
	count := 0
	for now := afterHold; now.Before(afterHold.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		d.Tick(now)
		for _, m := range d.TakeMessages() {
			if _, ok := m.Message.(*schedule.Shortage); ok && m.To == "r1" {
				count++
			}
		}
	}
	is.True(count > 8 && count < 24) // the interval doubles from 5 ms to 1 s
}
