package bidding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

var start = time.Unix(1_000_000, 0)

// busyDispatchers stands in for local dispatchers that have no free slots.
type busyDispatchers struct{}

func (busyDispatchers) UnclaimedSlots(time.Time, view.EndpointID) int  { return 0 }
func (busyDispatchers) LowestServed(time.Time, string) (float64, bool) { return 0, false }

// newBidder returns a bidder for endpoints that are dispatched by router d.
func newBidder(options Options, endpoints int, organisations ...view.Organisation) *Bidder {
	b := New(options, rand.New(rand.NewPCG(1, 1)), busyDispatchers{})
	v := &view.Snapshot{Self: "self", Routers: []view.Router{{ID: "d"}, {ID: "self"}}, Organisations: map[string]view.Organisation{}}
	owners := map[view.EndpointID]view.RouterID{}
	for i := range endpoints {
		id := view.EndpointID(fmt.Sprint("e", i))
		v.Endpoints = append(v.Endpoints, view.Endpoint{ID: id, Pool: "p", Models: []string{"m", "n"}})
		owners[id] = "d"
	}
	for _, o := range organisations {
		v.Organisations[o.Name] = o
	}
	b.Change(start, v, owners)
	b.TakeOutputs()
	return b
}

func request(id schedule.RequestID, organisation string) schedule.Request {
	return schedule.Request{ID: id, Organisation: organisation, Pool: "p", Model: "m", MayWait: true, Estimate: 10, BodyBytes: 100}
}

// outputs are a bidder's outputs sorted by type.
type outputs struct {
	starts   []schedule.Start
	refusals []schedule.Refusal
	bids     []*schedule.Bid
	returns  []*schedule.Return
}

func take(b *Bidder) outputs {
	var d outputs
	for _, out := range b.TakeOutputs() {
		switch out := out.(type) {
		case schedule.Start:
			d.starts = append(d.starts, out)
		case schedule.Refusal:
			d.refusals = append(d.refusals, out)
		case schedule.Send:
			switch m := out.Message.(type) {
			case *schedule.Bid:
				d.bids = append(d.bids, m)
			case *schedule.Return:
				d.returns = append(d.returns, m)
			}
		}
	}
	return d
}

func grant(b *Bidder, id schedule.GrantID, endpoint view.EndpointID, organisation string) {
	b.Grant(start, "d", &schedule.Grant{
		Grant: id, Endpoint: endpoint, Deadline: start.Add(time.Second),
		Queue: schedule.QueueKey{Organisation: organisation, Model: "m"},
	})
}

func TestMostUrgentRequestUsesTheGrant(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 4)
	urgencies := []int{1, 3, 3, 2}
	for i, urgency := range urgencies {
		r := request(schedule.RequestID(i), "o")
		r.Urgency = urgency
		b.Arrive(start, r)
	}
	nested := request(9, "o")
	nested.Nested = true
	b.Arrive(start, nested)
	b.TakeOutputs()
	for i, want := range []schedule.RequestID{9, 1, 2, 3, 0} {
		grant(b, schedule.GrantID(i+1), "e0", "o")
		got := take(b)
		is.Equal(len(got.starts), 1)
		is.Equal(got.starts[0].ID, want)
	}
}

func TestUnusedGrantsAreReturnedAndBidsWithdrawn(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 4)
	b.Arrive(start, request(1, "o"))
	placed := take(b).bids
	is.Equal(len(placed), initialBidsPerRequest)
	grant(b, 1, placed[0].Endpoint, "o")
	got := take(b)
	is.Equal(len(got.starts), 1)
	is.Equal(len(got.bids), 1) // the other bid is withdrawn
	is.Equal(got.bids[0].Waiting, 0)
	grant(b, 2, placed[1].Endpoint, "o") // sent before the withdrawal arrived
	got = take(b)
	is.Equal(len(got.starts), 0)
	is.Equal(got.returns[0].Result, schedule.ResultNotSent)
}

func TestAnotherModelOfTheOrganisationUsesAnUnusedGrant(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 4)
	b.Arrive(start, request(1, "o"))
	b.Depart(start, 1)
	other := request(2, "o")
	other.Model = "n"
	b.Arrive(start, other)
	b.TakeOutputs()
	grant(b, 1, "e0", "o")
	is.Equal(take(b).starts[0].ID, schedule.RequestID(2))
}

func TestSheddingRefusesFromTheLargestOrganisation(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{MaxWaiting: 10}, 4, view.Organisation{Name: "bounded", MaxWaiting: 3})
	for id := range schedule.RequestID(20) {
		b.Arrive(start, request(id, "large"))
	}
	is.Equal(len(take(b).refusals), 10)
	b.Arrive(start, request(100, "small"))
	got := take(b).refusals
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, schedule.RequestID(9)) // the newest of the largest organisation
	is.True(got[0].RetryAt.After(start))
	for id := range schedule.RequestID(4) {
		b.Arrive(start, request(200+id, "bounded"))
	}
	var refused []schedule.RequestID
	for _, r := range take(b).refusals {
		refused = append(refused, r.ID)
	}
	is.Equal(refused, []schedule.RequestID{8, 7, 6, 203})
}

func TestWaitingBytesAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{MaxWaitingBytes: 1000}, 4)
	for id := range schedule.RequestID(30) {
		b.Arrive(start, request(id, fmt.Sprint("o", id%3)))
		is.True(b.store.bytes <= 1000)
	}
	is.Equal(len(take(b).refusals), 20)
}

func TestRequestsAreRefusedAtTheirDeadline(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 4)
	late, noWait := request(1, "o"), request(2, "o")
	late.Deadline = start.Add(time.Second)
	noWait.MayWait = false
	b.Arrive(start, late)
	b.Arrive(start, noWait)
	is.Equal(b.Due(start), start.Add(busyTickInterval))
	b.Tick(start.Add(noWaitTimeout))
	got := take(b).refusals
	is.Equal(got[0].ID, schedule.RequestID(2))
	is.Equal(got[0].Reason, schedule.RefusalOverload)
	b.Tick(late.Deadline)
	is.Equal(take(b).refusals[0].Reason, schedule.RefusalDeadline)
}

func TestRefusalWithoutEndpoint(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 0)
	noWait := request(1, "o")
	noWait.MayWait = false
	b.Arrive(start, noWait)
	is.Equal(take(b).refusals[0].Reason, schedule.RefusalNoEndpoint)
	b.Arrive(start, request(2, "o"))
	b.Tick(start)
	is.Equal(len(take(b).refusals), 0) // an endpoint may still appear
	b.Tick(start.Add(noEndpointGrace))
	is.Equal(take(b).refusals[0].Reason, schedule.RefusalNoEndpoint)
}

func TestQueueThatIsBehindBidsAtMoreEndpoints(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 64)
	b.Arrive(start, request(1, "o"))
	b.TakeOutputs()
	q := b.queueOrder[0]
	now := start
	for range 6 {
		now = now.Add(widenInterval)
		b.Tick(now)
	}
	is.Equal(q.liveBids(), laterBidsPerRequest) // no organisation with a higher counter is served
	b.pool("p").recordServed(now, 1000)
	for range 6 {
		now = now.Add(widenInterval)
		b.Tick(now)
	}
	is.Equal(q.liveBids(), 64)
	b.Depart(now, 1)
	is.Equal(q.liveBids(), 0)
}

func TestShortageTriggersBids(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 64)
	b.Arrive(start, request(1, "o"))
	b.TakeOutputs()
	for _, id := range []view.EndpointID{"e7", "e9"} {
		b.Shortage(start, &schedule.Shortage{Endpoint: id, FreeSlots: 2})
		is.True(b.queueOrder[0].bidAt(id).remaining() > 0)
	}
}

func TestBidsAndRenewalsGoToTheNewDispatcher(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 1)
	b.Arrive(start, request(1, "o"))
	b.Arrive(start, request(2, "o"))
	grant(b, 1, "e0", "o")
	b.TakeOutputs()
	v := *b.view
	b.Change(start, &v, map[view.EndpointID]view.RouterID{"e0": "new"})
	var renewed, resent bool
	for _, out := range b.TakeOutputs() {
		sent, ok := out.(schedule.Send)
		if !ok || sent.To != "new" {
			continue
		}
		switch m := sent.Message.(type) {
		case *schedule.Renewal:
			renewed = len(m.Running) == 1 && m.Running[0].Grant == 1
		case *schedule.Bid:
			resent = m.Resync && m.Waiting == 1
		}
	}
	is.True(renewed)
	is.True(resent)
}

func TestProgressIsSettledBeforeCompletion(t *testing.T) {
	is := is.New(t)
	b := newBidder(Options{}, 1, view.Organisation{Name: "o", Weight: 2})
	b.Arrive(start, request(1, "o"))
	grant(b, 1, "e0", "o")
	m := b.meterOf("p", "o")
	is.Equal(m.Counter(start), 5.0) // the reserve: an estimate of 10 divided by weight 2
	b.Progress(schedule.Progress{ID: 1, Service: 6})
	is.Equal(m.Total(), 3.0)
	b.Complete(start, schedule.Completion{ID: 1, Result: schedule.ResultFinished, Service: 2})
	is.Equal(m.Counter(start), 4.0)
	b.Complete(start, schedule.Completion{ID: 1, Result: schedule.ResultFinished, Service: 2})
	is.Equal(m.Counter(start), 4.0) // a completion counts once
}
