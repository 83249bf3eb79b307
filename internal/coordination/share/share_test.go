package share

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// network connects the schedulers of three routers. Tests deliver, delay or
// drop the messages between them.
type network struct {
	t          *rapid.T
	now        time.Time
	schedulers map[view.RouterID]schedule.Scheduler
	messages   []transitMessage
	owner      map[schedule.RequestID]view.RouterID
	outcomes   map[schedule.RequestID]int
	departed   map[schedule.RequestID]bool
	running    []schedule.RequestID
	grants     map[schedule.GrantID]bool
	endpoints  []view.Endpoint
}

// transitMessage is a message that has been sent and not delivered yet.
type transitMessage struct {
	from, to view.RouterID
	message  schedule.Message
}

var routerIDs = []view.RouterID{"a", "b", "c"}

func newNetwork(t *rapid.T) *network {
	n := &network{
		t: t, now: time.Unix(1_000_000, 0),
		schedulers: map[view.RouterID]schedule.Scheduler{},
		owner:      map[schedule.RequestID]view.RouterID{},
		outcomes:   map[schedule.RequestID]int{},
		departed:   map[schedule.RequestID]bool{},
		grants:     map[schedule.GrantID]bool{},
	}
	for i := range 3 {
		n.endpoints = append(n.endpoints, view.Endpoint{ID: view.EndpointID(fmt.Sprint("e", i)), Pool: "p"})
	}
	for i, id := range routerIDs {
		n.schedulers[id] = New(Options{Source: rand.NewPCG(1, uint64(i))})
		n.change(id, routerIDs)
	}
	return n
}

// change gives a router a view with the listed live routers.
func (n *network) change(id view.RouterID, live []view.RouterID) {
	v := &view.Snapshot{Self: id, Endpoints: append([]view.Endpoint(nil), n.endpoints...)}
	for _, other := range live {
		v.Routers = append(v.Routers, view.Router{ID: other, Incarnation: 1})
	}
	n.step(id, schedule.Change{View: v})
}

func (n *network) step(id view.RouterID, in schedule.Input) {
	for _, out := range n.schedulers[id].Step(n.now, in) {
		switch out := out.(type) {
		case schedule.Start:
			n.recordOutcome(id, out.ID)
			n.running = append(n.running, out.ID)
		case schedule.Refusal:
			n.recordOutcome(id, out.ID)
		case schedule.Send:
			if out.To == id {
				n.t.Fatalf("%s sends %T to itself", id, out.Message)
			}
			if g, ok := out.Message.(*schedule.Grant); ok {
				if n.grants[g.Grant] {
					n.t.Fatalf("grant %d given twice", g.Grant)
				}
				n.grants[g.Grant] = true
			}
			n.messages = append(n.messages, transitMessage{id, out.To, out.Message})
		}
	}
}

// recordOutcome counts a Start or Refusal of the request, and fails the test if
// the request already had one, has departed, or belongs to another router.
func (n *network) recordOutcome(id view.RouterID, request schedule.RequestID) {
	n.outcomes[request]++
	if n.outcomes[request] > 1 || n.departed[request] || n.owner[request] != id {
		n.t.Fatalf("request %d started or refused %d times at %s, departed %v", request, n.outcomes[request], id, n.departed[request])
	}
}

func (n *network) arrive() {
	id := schedule.RequestID(len(n.owner) + 1)
	router := rapid.SampledFrom(routerIDs).Draw(n.t, "router")
	n.owner[id] = router
	r := schedule.Request{
		ID: id, Organisation: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(n.t, "organisation"),
		Pool: "p", Urgency: rapid.IntRange(0, 2).Draw(n.t, "urgency"), Estimate: 10,
		MayWait:   rapid.Bool().Draw(n.t, "wait"),
		Exclusive: rapid.IntRange(0, 5).Draw(n.t, "exclusive") == 0,
		Deadline:  n.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(n.t, "deadline")) * time.Second),
	}
	n.step(router, schedule.Arrival{Request: r})
}

func (n *network) randomAction() {
	switch rapid.IntRange(0, 9).Draw(n.t, "action") {
	case 0, 1, 2:
		n.arrive()
	case 3, 4:
		n.deliver(len(n.messages))
	case 5:
		n.messages = nil // all messages in transit are lost
	case 6:
		n.complete()
	case 7:
		n.now = n.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(n.t, "millis")) * time.Millisecond)
		for _, id := range routerIDs {
			n.step(id, schedule.Alarm{})
		}
	case 8:
		id := schedule.RequestID(rapid.IntRange(1, len(n.owner)+1).Draw(n.t, "departing"))
		if router, ok := n.owner[id]; ok && n.outcomes[id] == 0 {
			n.departed[id] = true
			n.step(router, schedule.Departure{ID: id})
		}
	case 9:
		for _, id := range routerIDs {
			live := routerIDs
			if rapid.Bool().Draw(n.t, "alone") {
				live = []view.RouterID{id}
			}
			n.change(id, live)
		}
	}
}

// deliver delivers up to count messages in the order in which they were sent.
func (n *network) deliver(count int) {
	for ; count > 0 && len(n.messages) > 0; count-- {
		m := n.messages[0]
		n.messages = n.messages[1:]
		n.step(m.to, schedule.Delivery{From: m.from, Message: m.message})
	}
}

func (n *network) complete() {
	if len(n.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.running)-1).Draw(n.t, "ending")
	id := n.running[i]
	n.running = append(n.running[:i], n.running[i+1:]...)
	result := schedule.Result(rapid.IntRange(1, 5).Draw(n.t, "result"))
	n.step(n.owner[id], schedule.Progress{ID: id, Service: 3, FirstToken: time.Millisecond})
	n.step(n.owner[id], schedule.Completion{ID: id, Result: result, Service: 4, Elapsed: time.Second})
}

// TestEveryArrivalIsStartedOrRefusedOnce checks that each request is started or
// refused exactly once, or departs, in spite of lost messages, differing views
// and deadlines.
func TestEveryArrivalIsStartedOrRefusedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n.randomAction()
		}
		// No request may wait any longer after all deadlines have passed.
		n.now = n.now.Add(time.Minute)
		for _, id := range routerIDs {
			n.step(id, schedule.Alarm{})
		}
		for id := range n.owner {
			if n.outcomes[id] == 0 && !n.departed[id] {
				t.Fatalf("request %d neither started nor refused", id)
			}
		}
	})
}

// TestRequestsAreServedAfterLosses checks that a new request is served once the
// views agree again and no message is lost. State left over from lost messages
// or differing views could otherwise keep requests waiting for ever.
func TestRequestsAreServedAfterLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n.randomAction()
		}
		for _, id := range routerIDs {
			n.change(id, routerIDs)
		}
		last := schedule.RequestID(len(n.owner) + 1)
		n.owner[last] = "a"
		n.step("a", schedule.Arrival{Request: schedule.Request{ID: last, Organisation: "new", Pool: "p", MayWait: true, Estimate: 10}})
		for range 400 {
			n.deliver(len(n.messages))
			for len(n.running) > 0 {
				id := n.running[0]
				n.running = n.running[1:]
				n.step(n.owner[id], schedule.Completion{ID: id, Result: schedule.ResultFinished, Service: 10, Elapsed: time.Millisecond})
			}
			if n.outcomes[last] == 1 {
				return
			}
			n.now = n.now.Add(20 * time.Millisecond)
			for _, id := range routerIDs {
				n.step(id, schedule.Alarm{})
			}
		}
		t.Fatalf("request %d still waits 8 s after the last loss or change of view", last)
	})
}

// TestSameInputsGiveSameOutputs checks that a Scheduler is deterministic. It
// would not be if, for example, outputs followed the iteration order of a map.
func TestSameInputsGiveSameOutputs(t *testing.T) {
	is := is.New(t)
	run := func() string {
		s := New(Options{Source: rand.NewPCG(7, 7)})
		now := time.Unix(1_000_000, 0)
		v := &view.Snapshot{Self: "a", Routers: []view.Router{{ID: "a"}, {ID: "b"}}}
		for i := range 30 {
			v.Endpoints = append(v.Endpoints, view.Endpoint{ID: view.EndpointID(fmt.Sprint("e", i)), Pool: "p"})
		}
		text := fmt.Sprint(s.Step(now, schedule.Change{View: v}))
		for id := range schedule.RequestID(200) {
			now = now.Add(10 * time.Millisecond)
			for _, out := range s.Step(now, schedule.Arrival{Request: schedule.Request{
				ID: id, Organisation: fmt.Sprint(id % 9), Pool: "p", MayWait: true, Estimate: 5,
			}}) {
				if sent, ok := out.(schedule.Send); ok {
					text += fmt.Sprintf("%s%+v", sent.To, sent.Message)
					continue
				}
				text += fmt.Sprintf("%+v", out)
			}
		}
		return text
	}
	is.Equal(run(), run())
}
