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

// open is an instant after the hold of a new dispatcher.
var open = start.Add(takeoverHold)

func snapshot(routers ...view.RouterID) *view.Snapshot {
	v := &view.Snapshot{Self: "self", Endpoints: []view.Endpoint{{ID: "e", Pool: "p"}}}
	for _, id := range routers {
		v.Routers = append(v.Routers, view.Router{ID: id, Incarnation: 1})
	}
	return v
}

var owners = map[view.EndpointID]view.RouterID{"e": "self"}

func newTable() *Dispatchers {
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

func giveBack(t *Dispatchers, now time.Time, from view.RouterID, g *schedule.Grant) {
	t.Return(now, from, &schedule.Return{Grant: g.Grant, Endpoint: "e", Queue: g.Queue, Result: schedule.ResultNotSent})
}

func TestLeastCounterGoesFirst(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Bid(start, "r1", bidOf("ahead", 9, 500)) // held: nothing is granted yet
	table.Bid(start, "r2", bidOf("behind", 9, 480))
	is.Equal(len(grants(table)), 0)
	table.Tick(open)
	got := grants(table)
	is.Equal(len(got), initialLimit)
	for i, want := range []string{"behind", "behind"} {
		is.Equal(got[i].Queue.Organisation, want) // its own grants count at once
	}
	is.Equal(got[2].Virtual, 500.0)
	is.Equal(got[3].Virtual, 500.0)
}

func TestUrgencyOrdersWithinAnOrganisationOnly(t *testing.T) {
	is := is.New(t)
	table := newTable()
	calm, urgent, other := bidOf("o", 9, 0), bidOf("o", 1, 0), bidOf("x", 9, 1)
	urgent.Queue.Model, urgent.Urgency = "m", 5
	other.Urgency = 9
	table.Bid(start, "r1", calm)
	table.Bid(start, "r2", urgent)
	table.Bid(start, "r2", other)
	table.Tick(open)
	got := grants(table)
	is.Equal(got[0].Queue, urgent.Queue)
	is.Equal(got[1].Queue.Organisation, "x")
	is.Equal(got[2].Queue, calm.Queue)
}

func TestRestatedBidCountsGrantsOnTheWay(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Bid(open, "r1", bidOf("o", 2, 0))
	is.Equal(len(grants(table)), 2)
	table.Bid(open, "r1", bidOf("o", 3, 0)) // sent before the grants came
	is.Equal(len(grants(table)), 1)
	lost := bidOf("o", 3, 0)
	lost.Resync = true
	table.Bid(open, "r1", lost)
	is.Equal(len(grants(table)), initialLimit-3) // up to the limit
	table.Bid(open, "r1", bidOf("o", 0, 0))
	is.Equal(len(table.endpoints["e"].board.heap), 0)
}

func TestSlotsOfALostRouterAreFreed(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Bid(open, "r1", bidOf("o", 99, 0))
	is.Equal(len(grants(table)), initialLimit)
	table.Bid(open, "r2", bidOf("x", 99, 0))
	is.Equal(len(grants(table)), 0) // full
	table.Change(open, snapshot("self", "r2"), owners)
	table.Tick(open)
	got := grants(table)
	is.Equal(len(got), initialLimit)
	is.Equal(got[0].Queue.Organisation, "x")
}

func TestGrantsEndUnlessRenewed(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Bid(open, "r1", bidOf("o", 2, 0))
	got := grants(table)
	later := open.Add(2 * time.Second)
	renewal := &schedule.Renewal{Endpoint: "e", Running: []schedule.Running{{Grant: got[0].Grant, Queue: got[0].Queue}}}
	table.Renew(later, "r1", renewal)
	is.Equal(len(table.endpoints["e"].grants), 1) // the other was lost on its way
	table.Tick(later.Add(grantLifetime))
	is.Equal(len(table.endpoints["e"].grants), 0)
}

func TestNewDispatcherLearnsWhatRuns(t *testing.T) {
	is := is.New(t)
	table := newTable()
	m := &schedule.Renewal{Endpoint: "e"}
	for i := range 6 {
		m.Running = append(m.Running, schedule.Running{Grant: schedule.GrantID(100 + i)})
	}
	table.Renew(start, "r1", m)
	table.Bid(start, "r2", bidOf("o", 9, 0))
	table.Tick(open)
	is.Equal(len(grants(table)), 0) // all that it is known to run well is taken
	giveBack(table, open, "r1", &schedule.Grant{Grant: 100})
	is.Equal(len(grants(table)), 1)
	giveBack(table, open, "r1", &schedule.Grant{Grant: 100})
	is.Equal(len(grants(table)), 0) // a slot is freed once
}

func TestOneExclusiveRequestAtATime(t *testing.T) {
	is := is.New(t)
	table := newTable()
	suspect := bidOf("o", 3, 0)
	suspect.Queue.Exclusive = true
	table.Bid(open, "r1", suspect)
	got := grants(table)
	is.Equal(len(got), 1)
	table.Bid(open, "r2", bidOf("x", 1, 50))
	is.Equal(len(grants(table)), 1) // others are not held up
	giveBack(table, open, "r1", got[0])
	is.Equal(len(grants(table)), 1)
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	is := is.New(t)
	table := newTable()
	v := snapshot("self", "r1")
	v.Endpoints[0].Leaving = true
	table.Change(open, v, owners)
	table.Bid(open.Add(takeoverHold), "r1", bidOf("o", 3, 0))
	is.Equal(len(grants(table)), 0)
}

func TestShortageIsAnnouncedAtGrowingDistances(t *testing.T) {
	is := is.New(t)
	table := newTable()
	count := 0
	for now := open; now.Before(open.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		table.Tick(now)
		for _, m := range table.TakeMessages() {
			if _, ok := m.Message.(*schedule.Shortage); ok && m.To == "r1" {
				count++
			}
		}
	}
	is.True(count > 8 && count < 24) // doubling from 5 ms to 1 s
}
