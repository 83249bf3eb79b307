package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	largeFleet     = 70
	largePool      = 60
	organisations  = 30
	floodInterval  = 2 * time.Millisecond
	floodsPerPulse = 7
)

// fleetWorld is the policy of one router of a large fleet whose engines are
// kept busy by the others.
type fleetWorld struct {
	policy  *Policy
	now     time.Time
	routers int
	last    schedule.RequestID
}

func newFleetWorld(routers int) *fleetWorld {
	w := &fleetWorld{policy: New(Options{Source: rand.NewPCG(1, 2)}), now: time.Unix(5000, 0), routers: routers}
	v := &view.Snapshot{Self: "r0", Pools: map[string]view.Pool{"p": {TokensPerSecond: 2_300_000, TokensPerEvent: 8}}}
	for i := range routers {
		v.Routers = append(v.Routers, view.Router{ID: view.RouterID(fmt.Sprint("r", i))})
	}
	for i := range largePool {
		v.Endpoints = append(v.Endpoints, view.Endpoint{ID: engineID(i), Pool: "p", Slots: 32, MemoryTokens: 675_000})
	}
	w.policy.Step(w.now, schedule.Change{View: v})
	for from := 1; from < routers; from++ {
		w.pulse(from)
	}
	return w
}

func engineID(i int) view.EndpointID { return view.EndpointID(fmt.Sprint("engine", i)) }

// pulse has a peer tell that it uses every engine for every organisation.
func (w *fleetWorld) pulse(from int) {
	m := &schedule.Pulse{}
	for i := range largePool {
		m.Endpoints = append(m.Endpoints, schedule.EndpointLoad{Endpoint: engineID(i), Requests: 1, Backlog: 1100, Memory: 9000})
	}
	for i := range organisations {
		m.Organisations = append(m.Organisations, schedule.OrganisationUse{Organisation: fmt.Sprint("o", i), Asked: 10_000, Received: 1500})
	}
	w.policy.Step(w.now, schedule.Delivery{From: view.RouterID(fmt.Sprint("r", from)), Message: m})
}

func (w *fleetWorld) arrive() {
	w.last++
	w.policy.Step(w.now, schedule.Arrival{Request: schedule.Request{
		ID: w.last, Organisation: "o1", Pool: "p", MayWait: true,
		Deadline: w.now.Add(deadline), Objective: w.now.Add(objective),
		Prompt: &schedule.Prompt{InputTokens: 12_000, OutputTokens: 380, Parts: []schedule.PromptPart{
			{ID: uint64(w.last % 5), Tokens: 198}, {ID: uint64(100 + w.last%40), Tokens: 5182}, {ID: uint64(10_000 + w.last), Tokens: 6610},
		}},
	}})
}

// BenchmarkFloodInALargeFleet is what one request of a flood costs a router.
func BenchmarkFloodInALargeFleet(b *testing.B) {
	w := newFleetWorld(largeFleet)
	for b.Loop() {
		w.now = w.now.Add(floodInterval)
		w.arrive()
		if w.last%floodsPerPulse == 0 {
			w.pulse(1 + int(w.last/floodsPerPulse)%(largeFleet-1))
		}
	}
}

// TestWatchGrowsWithTheFleetNotItsSquare is the pattern of a large fleet: what
// a router does at regular times must not take the time that requests need.
func TestWatchGrowsWithTheFleetNotItsSquare(t *testing.T) {
	is := is.New(t)
	least := func(routers int) time.Duration {
		w := newFleetWorld(routers)
		shortest := time.Hour
		for range 50 {
			w.policy.silentAt, w.policy.expireAt = time.Time{}, time.Time{}
			begun := time.Now()
			w.policy.watch(w.now)
			shortest = min(shortest, time.Since(begun))
		}
		return shortest
	}
	small, large := least(largeFleet), least(4*largeFleet)
	is.True(large < 8*small) // four times the routers; their square is sixteen times
}
