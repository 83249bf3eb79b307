package membership_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/state/view"
)

func routerNamed(id view.RouterID, incarnation uint64) view.Router {
	return view.Router{ID: id, Incarnation: incarnation, FailureDomain: "Kolkata", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")}
}

func newTable() (*membership.Table, time.Time) {
	return membership.New(membership.Options{
		Self: routerNamed("a", 5), Random: rand.New(rand.NewPCG(1, 1)),
	}), time.Unix(1e9, 0)
}

// news is a heartbeat from router b with the given members.
func news(members ...membership.Member) membership.Received {
	all := append([]membership.Member{{Router: routerNamed("b", 1)}}, members...)
	return membership.Received{From: "b", Heartbeat: membership.Heartbeat{Members: all, Known: len(all)}}
}

// find returns the last output of a type.
func find[T membership.Output](outs []membership.Output) (found T, ok bool) {
	for _, out := range outs {
		if o, is := out.(T); is {
			found, ok = o, true
		}
	}
	return found, ok
}

func TestSuspicionOfSelfIsRefuted(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	table.Step(now, news(membership.Member{Router: routerNamed("a", 5), Counter: 7, Suspected: true}))
	sent, ok := find[membership.Send](table.Step(now.Add(time.Second), membership.Alarm{}))
	is.True(ok)
	is.Equal(sent.Heartbeat.Members[0].Counter, uint64(8))
	is.True(!sent.Heartbeat.Members[0].Suspected)
}

func TestHigherIncarnationOfSelfIsOutbid(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	raised, ok := find[membership.IncarnationRaised](table.Step(now, news(membership.Member{Router: routerNamed("a", 9)})))
	is.True(ok)
	is.Equal(raised.Incarnation, uint64(10))
}

func TestOldNewsChangesNothing(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	before, ok := find[membership.Change](table.Step(now, news(membership.Member{Router: routerNamed("c", 3), Counter: 2})))
	is.True(ok)
	is.Equal(len(before.Routers), 3)
	for _, old := range []membership.Member{
		{Router: routerNamed("c", 2), Counter: 9, Suspected: true}, // an earlier start
		{Router: routerNamed("c", 3), Counter: 1, Suspected: true}, // refuted since
	} {
		table.Step(now.Add(500*time.Millisecond), news(old))
		_, changed := find[membership.Change](table.Step(now.Add(time.Second), membership.Alarm{}))
		is.True(!changed)
	}
}

func TestRefusedConnectionBeginsASuspicion(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	table.Step(now, news())
	table.Step(now.Add(100*time.Millisecond), membership.Unreachable{Router: "b"})
	_, heard := find[membership.Decision](table.Step(now.Add(200*time.Millisecond), membership.Unreachable{Router: "b"}))
	is.True(!heard) // its heartbeats still come
	decision, ok := find[membership.Decision](table.Step(now.Add(600*time.Millisecond), membership.Unreachable{Router: "b"}))
	is.True(ok)
	is.Equal(decision.Event, membership.EventSuspected)
}

func TestVMThatIsGoneConfirmsADeath(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	table.Step(now, news(membership.Member{Router: routerNamed("c", 1)}))
	table.Step(now.Add(10*time.Millisecond), news(membership.Member{Router: routerNamed("c", 1), Suspected: true}))
	decision, ok := find[membership.Decision](table.Step(now.Add(20*time.Millisecond), membership.VMList{VMs: []membership.VM{{Name: "a"}, {Name: "b"}}}))
	is.True(ok)
	is.Equal(decision.Event, membership.EventDead)
}

func TestLeavingVMOwnsNothing(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	table.Step(now, news())
	table.Step(now.Add(10*time.Millisecond), membership.VMList{VMs: []membership.VM{{Name: "a"}, {Name: "b", Leaving: true}}})
	change, ok := find[membership.Change](table.Step(now.Add(time.Second/2), membership.Alarm{}))
	is.True(ok)
	is.True(change.Routers[1].Draining)
}
