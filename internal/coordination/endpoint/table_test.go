package endpoint

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/state/view"
)

var epoch = time.UnixMilli(1_000_000)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

// configured returns count endpoints of one pool, each on its own VM.
func configured(count int) Configuration {
	var c Configuration
	for i := range count {
		vm := fmt.Sprint("vm", i)
		c.Endpoints = append(c.Endpoints, Configured{
			Key: vm + "/e", Pool: "p", VM: vm, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return c
}

func routers(self view.RouterID, count int) Routers {
	v := &view.Snapshot{Self: self}
	for i := range count {
		v.Routers = append(v.Routers, view.Router{ID: view.RouterID(fmt.Sprintf("r%03d", i))})
	}
	return Routers{v}
}

// newTable returns the table of a fleet's only router. It knows count endpoints,
// which started at epoch.
func newTable(count int) *Table {
	t := New(rand.New(rand.NewPCG(1, 1)))
	t.Step(epoch, configured(count))
	t.Step(epoch, routers("r000", 1))
	for i := range count {
		t.Step(epoch, Report{Key: fmt.Sprint("vm", i, "/e"), Started: epoch, Models: []string{"m"}})
	}
	return t
}

func (t *Table) endpoint(i int) view.Endpoint {
	return t.records[fmt.Sprint("vm", i, "/e")].viewEndpoint()
}

func vms(leaving string, names ...string) []VM {
	var all []VM
	for _, n := range names {
		all = append(all, VM{Name: n, Leaving: n == leaving})
	}
	return all
}

func TestEndpointAppearsOnceItsStartIsKnown(t *testing.T) {
	is := is.New(t)
	table := New(rand.New(rand.NewPCG(1, 1)))
	out := table.Step(epoch, configured(1))
	is.Equal(out, []Output{Changed{[]view.Endpoint{}}})
	out = table.Step(epoch, Tick{})
	is.Equal(out[0], Poll{"vm0/e", configured(1).Endpoints[0].Address, false}) // every router polls an endpoint without a known start
	out = table.Step(epoch, Report{Key: "vm0/e", Started: epoch, Models: []string{"b", "a"}})
	endpoints := out[len(out)-1].(Changed).Endpoints
	is.Equal(endpoints[0].ID, NewID("vm0/e", epoch))
	is.Equal(endpoints[0].Models, []string{"a", "b"})
}

func TestLeavingIsPermanentForAStart(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	table.Step(at(10), List{Version: 2, AsOf: at(5), VMs: vms("vm0", "vm0", "vm1")})
	is.True(table.endpoint(0).Leaving)
	is.True(!table.endpoint(1).Leaving)
	table.Step(at(20), List{Version: 1, AsOf: at(4), VMs: vms("", "vm0", "vm1")}) // an older copy of the list
	table.Step(at(30), List{Version: 3, AsOf: at(25), VMs: vms("", "vm0", "vm1")})
	table.Step(at(40), Report{Key: "vm0/e", Started: epoch})
	is.True(table.endpoint(0).Leaving)
	table.Step(at(50), Report{Key: "vm0/e", Started: at(45)}) // the next start
	is.True(!table.endpoint(0).Leaving)
}

func TestListOlderThanStartDoesNotMarkItLeaving(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.Step(at(100), Report{Key: "vm0/e", Started: at(90)})
	table.Step(at(110), List{Version: 2, AsOf: at(80), VMs: vms("vm0", "vm0")})
	is.True(!table.endpoint(0).Leaving)
	table.Step(at(120), List{Version: 2, AsOf: at(100), VMs: vms("vm0", "vm0")})
	is.True(table.endpoint(0).Leaving)
}

func TestEndpointOfUnlistedVMGetsNoWork(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	table.Step(at(10), List{Version: 2, AsOf: at(5), VMs: vms("", "vm1")})
	is.True(table.endpoint(0).Leaving)
	table.Step(at(20), List{Version: 3, AsOf: at(15), VMs: vms("", "vm0", "vm1")})
	is.True(!table.endpoint(0).Leaving) // the list never marked the VM as leaving
}

func TestLeavingIsLearntFromPeerWithoutList(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	update := func(started time.Time) Delivery {
		return Delivery{"r001", Update{2, at(5), []State{{ID: NewID("vm0/e", started), Leaving: true, AsOf: at(6)}}}}
	}
	table.Step(at(10), update(at(-50))) // about an earlier start
	is.True(!table.endpoint(0).Leaving)
	table.Step(at(10), update(epoch))
	is.True(table.endpoint(0).Leaving)
	table.Step(at(10), Delivery{"r001", Update{States: []State{{ID: "nonsense"}, {ID: "vm9/e#1"}}}})
}

func TestEachEjectionLastsLonger(t *testing.T) {
	is := is.New(t)
	table := newTable(4)
	id := table.endpoint(0).ID
	fail := func(millis int) { table.Step(at(millis), Outcome{ID: id, Failed: true}) }
	fail(1)
	fail(2)
	table.Step(at(3), Outcome{ID: id}) // a success resets the count
	fail(4)
	fail(5)
	is.True(table.endpoint(0).EjectedUntil.IsZero())
	fail(6)
	is.Equal(table.endpoint(0).EjectedUntil, at(1006))
	fail(10) // a request sent before the ejection
	is.Equal(table.endpoint(0).EjectedUntil, at(1006))
	table.Step(at(20), Report{Key: "vm0/e", Started: epoch}) // reachable, but attempts failed
	is.Equal(table.endpoint(0).EjectedUntil, at(1006))
	fail(1100) // one failure is enough after an ejection
	is.Equal(table.endpoint(0).EjectedUntil, at(3100))
	table.Step(at(3200), Outcome{ID: id})
	is.True(table.endpoint(0).EjectedUntil.IsZero())
}

func TestUnreachableEndpointReturnsAfterAnsweredPoll(t *testing.T) {
	is := is.New(t)
	table := newTable(4)
	for i := range 3 {
		table.Step(at(i), PollFailed{"vm0/e"})
	}
	is.Equal(table.endpoint(0).EjectedUntil, at(1002))
	table.Step(at(502), PollFailed{"vm0/e"}) // the ejection is extended before it ends
	is.Equal(table.endpoint(0).EjectedUntil, at(2502))
	table.Step(at(600), Report{Key: "vm0/e", Started: epoch})
	is.True(table.endpoint(0).EjectedUntil.IsZero())
}

func TestEjectionByNonPollerIsNotSent(t *testing.T) {
	is := is.New(t)
	table := newTable(4)
	var nonPoller view.RouterID
	all := routers("", 12)
	owners := all.View.Owners(string(table.endpoint(0).ID), pollersPerEndpoint)
	for _, r := range all.View.Routers {
		if r.ID != owners[0] && r.ID != owners[1] {
			nonPoller = r.ID
		}
	}
	table.Step(at(1), routers(nonPoller, 12))
	table.Step(at(2), Tick{}) // empties the update queue
	for i := range 3 {
		table.Step(at(3+i), PollFailed{"vm0/e"})
	}
	is.True(at(10).Before(table.endpoint(0).EjectedUntil))
	for _, out := range table.Step(at(10), Tick{}) {
		if s, ok := out.(Send); ok {
			for _, state := range s.Update.States {
				is.True(state.EjectedUntil.IsZero())
			}
		}
	}
}

// TestUpdateReachesAllRoutersDespiteLoss checks that a change that one router
// observes reaches all routers although a third of the messages is lost, and
// that this takes far fewer messages than sending it from all to all.
func TestUpdateReachesAllRoutersDespiteLoss(t *testing.T) {
	const count, oneLostIn = 60, 3
	is := is.New(t)
	tables := make(map[view.RouterID]*Table)
	random := rand.New(rand.NewPCG(7, 7))
	for _, r := range routers("", count).View.Routers {
		table := New(rand.New(rand.NewPCG(random.Uint64(), 1)))
		table.Step(epoch, configured(2))
		table.Step(epoch, routers(r.ID, count))
		table.Step(epoch, Report{Key: "vm0/e", Started: epoch})
		table.updates = updateQueue{changedAt: map[string]time.Time{}}
		tables[r.ID] = table
	}
	tables["r000"].Step(at(1), List{Version: 2, AsOf: at(1), VMs: vms("vm0", "vm0", "vm1")})
	messages, learnt := 0, 0
	const tick = 100
	for now := tick; now <= 1000; now += tick {
		var sent []Delivery
		var to []view.RouterID
		for _, r := range routers("", count).View.Routers {
			for _, out := range tables[r.ID].Step(at(now), Tick{}) {
				if s, ok := out.(Send); ok && random.IntN(oneLostIn) > 0 {
					sent, to = append(sent, Delivery{r.ID, s.Update}), append(to, s.To)
				}
			}
		}
		messages += len(sent)
		for i, d := range sent {
			tables[to[i]].Step(at(now), d)
		}
		learnt = 0
		for _, table := range tables {
			if table.endpoint(0).Leaving {
				learnt++
			}
		}
	}
	is.Equal(learnt, count)
	is.True(messages < 20*count) // each router sends to a few others only
}

// TestTableProperties checks, for arbitrary inputs, that the start of an
// endpoint never goes back, that a leaving start remains leaving, and that at
// most half of the pool is ejected.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		table := newTable(size)
		now := epoch
		wasLeaving := make(map[view.EndpointID]bool)
		started := make([]time.Time, size)
		t.Repeat(map[string]func(*rapid.T){
			"Input": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "millis")) * time.Millisecond)
				table.Step(now, drawInput(t, now, table))
			},
			"": func(t *rapid.T) {
				ejected := 0
				for i := range size {
					e := table.endpoint(i)
					_, start, _ := ParseID(e.ID)
					if start.Before(started[i]) {
						t.Fatalf("%s went back to an older start", e.ID)
					}
					started[i] = start
					r := table.records[fmt.Sprint("vm", i, "/e")]
					if wasLeaving[e.ID] && !r.shared.leaving {
						t.Fatalf("%s was leaving and no longer is", e.ID)
					}
					wasLeaving[e.ID] = wasLeaving[e.ID] || r.shared.leaving
					if now.Before(e.EjectedUntil) {
						ejected++
					}
				}
				if ejected > size/2 {
					t.Fatalf("%d of %d are ejected", ejected, size)
				}
			},
		})
	})
}

func drawInput(t *rapid.T, now time.Time, table *Table) Input {
	i := rapid.IntRange(0, 3).Draw(t, "endpoint")
	key := fmt.Sprint("vm", i, "/e")
	instant := now.Add(time.Duration(rapid.IntRange(-5000, 0).Draw(t, "age")) * time.Millisecond)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return Report{Key: key, Started: instant, Leaving: rapid.Bool().Draw(t, "leaving")}
	case 1:
		return PollFailed{key}
	case 2:
		return Outcome{ID: table.endpoint(i).ID, Failed: rapid.Bool().Draw(t, "failed")}
	case 3:
		return List{uint64(i), instant, vms(fmt.Sprint("vm", i), "vm0", "vm1", "vm2")}
	case 4:
		state := State{
			ID: NewID(key, instant), AsOf: now, Leaving: rapid.Bool().Draw(t, "leaving"),
			Gone: rapid.Bool().Draw(t, "gone"), EjectedUntil: now.Add(time.Second),
		}
		if rapid.Bool().Draw(t, "known") {
			state.ID = table.endpoint(i).ID
		}
		return Delivery{"r001", Update{1, instant, []State{state}}}
	}
	return Tick{}
}
