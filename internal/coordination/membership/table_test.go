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

// heartbeatFromB returns a heartbeat from router b with the given members.
func heartbeatFromB(members ...membership.Member) membership.Received {
	all := append([]membership.Member{{Router: routerNamed("b", 1)}}, members...)
	return membership.Received{From: "b", Heartbeat: membership.Heartbeat{Members: all, Known: len(all)}}
}

// lastOutput returns the last output of type T.
func lastOutput[T membership.Output](outs []membership.Output) (found T, ok bool) {
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
	table.Step(now, heartbeatFromB(membership.Member{Router: routerNamed("a", 5), Counter: 7, Suspected: true}))
	sent, ok := lastOutput[membership.Send](table.Step(now.Add(time.Second), membership.Alarm{}))
	is.True(ok)
	is.Equal(sent.Heartbeat.Members[0].Counter, uint64(8))
	is.True(!sent.Heartbeat.Members[0].Suspected)
}

func TestHigherIncarnationOfSelfRaisesIncarnation(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	raised, ok := lastOutput[membership.IncarnationRaised](table.Step(now, heartbeatFromB(membership.Member{Router: routerNamed("a", 9)})))
	is.True(ok)
	is.Equal(raised.Incarnation, uint64(10))
}

func TestOlderStateOfMemberIsIgnored(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	before, ok := lastOutput[membership.Change](table.Step(now, heartbeatFromB(membership.Member{Router: routerNamed("c", 3), Counter: 2})))
	is.True(ok)
	is.Equal(len(before.Routers), 3)
	for _, old := range []membership.Member{
		{Router: routerNamed("c", 2), Counter: 9, Suspected: true}, // an earlier start
		{Router: routerNamed("c", 3), Counter: 1, Suspected: true}, // a suspicion refuted since
	} {
		table.Step(now.Add(500*time.Millisecond), heartbeatFromB(old))
		_, changed := lastOutput[membership.Change](table.Step(now.Add(time.Second), membership.Alarm{}))
		is.True(!changed)
	}
}

func TestRefusedConnectionRaisesSuspicion(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	table.Step(now, heartbeatFromB())
	table.Step(now.Add(100*time.Millisecond), membership.Unreachable{Router: "b"})
	_, suspected := lastOutput[membership.Decision](table.Step(now.Add(200*time.Millisecond), membership.Unreachable{Router: "b"}))
	is.True(!suspected) // a heartbeat arrived within the last interval
	decision, ok := lastOutput[membership.Decision](table.Step(now.Add(600*time.Millisecond), membership.Unreachable{Router: "b"}))
	is.True(ok)
	is.Equal(decision.Event, membership.EventSuspected)
}

func TestSuspectedRouterOfRemovedVMIsDead(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	table.Step(now, heartbeatFromB(membership.Member{Router: routerNamed("c", 1)}))
	table.Step(now.Add(10*time.Millisecond), heartbeatFromB(membership.Member{Router: routerNamed("c", 1), Suspected: true}))
	decision, ok := lastOutput[membership.Decision](table.Step(now.Add(20*time.Millisecond), membership.VMList{VMs: []membership.VM{{Name: "a"}, {Name: "b"}}}))
	is.True(ok)
	is.Equal(decision.Event, membership.EventDead)
}

func TestRouterOnLeavingVMIsReportedAsDraining(t *testing.T) {
	is := is.New(t)
	table, now := newTable()
	table.Step(now, heartbeatFromB())
	table.Step(now.Add(10*time.Millisecond), membership.VMList{VMs: []membership.VM{{Name: "a"}, {Name: "b", Leaving: true}}})
	change, ok := lastOutput[membership.Change](table.Step(now.Add(time.Second/2), membership.Alarm{}))
	is.True(ok)
	is.True(change.Routers[1].Draining)
}
