package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// largeFleet is the policy of one router in a fleet of 295 routers with 160 engines and
// 60 organisations, whose peers report the load of some engines and all organisations.
type largeFleet struct {
	policy *Policy
	now    time.Time
	last   schedule.RequestID
	pulses []*schedule.Pulse
	ids    []view.RouterID
	next   int
}

const largeRouters, largeEngines, largeOrganisations = 295, 160, 60

func newLargeFleet() *largeFleet {
	f := &largeFleet{policy: New(Options{Source: rand.NewPCG(1, 2)}), now: time.Unix(5000, 0)}
	random := rand.New(rand.NewPCG(2, 2))
	v := &view.Snapshot{Self: "r", Routers: []view.Router{{ID: "r"}}, Pools: map[string]view.Pool{"p": {TokensPerSecond: 4_200_000, TokensPerEvent: 14}}}
	for i := range largeEngines {
		v.Endpoints = append(v.Endpoints, view.Endpoint{ID: engineID(i), Pool: "p", Slots: 16, MemoryTokens: 536_769})
	}
	for i := range largeRouters - 1 {
		id := view.RouterID(fmt.Sprint("x", i))
		v.Routers = append(v.Routers, view.Router{ID: id})
		m := &schedule.Pulse{}
		for range 8 {
			m.Endpoints = append(m.Endpoints, schedule.EndpointLoad{
				Endpoint: engineID(random.IntN(largeEngines)), Requests: 1, Backlog: 2000, Memory: 9000, Samples: schedule.Samples{Count: 1, EventInterval: 90 * time.Millisecond},
			})
		}
		for o := range largeOrganisations {
			m.Organisations = append(m.Organisations, schedule.OrganisationUse{Organisation: fmt.Sprint("o", o), Requested: 300, Received: 250})
		}
		f.ids, f.pulses = append(f.ids, id), append(f.pulses, m)
	}
	f.policy.Step(f.now, schedule.Change{View: v})
	for range f.ids {
		f.pulse()
	}
	return f
}

// pulse delivers the next report of a peer.
func (f *largeFleet) pulse() {
	f.policy.Step(f.now, schedule.Delivery{From: f.ids[f.next], Message: f.pulses[f.next]})
	f.next = (f.next + 1) % len(f.ids)
}

// arrive lets a request arrive and end.
func (f *largeFleet) arrive(organisation string) {
	f.last++
	id := f.last
	out := f.policy.Step(f.now, schedule.Arrival{Request: schedule.Request{
		ID: id, Organisation: organisation, Class: "c", Pool: "p", MayWait: true, MaxPause: 400 * time.Millisecond,
		Objective: f.now.Add(600 * time.Millisecond), Deadline: f.now.Add(12 * time.Second),
		Prompt: &schedule.Prompt{InputTokens: 2000, OutputTokens: 100, Identity: uint64(id), Parts: []schedule.PromptPart{
			{ID: 1, Tokens: 300}, {ID: uint64(id)%50 + 2, Tokens: 700}, {ID: uint64(id) << 20, Tokens: 1000},
		}},
	}})
	for _, o := range out {
		if s, ok := o.(schedule.Start); ok {
			f.policy.Step(f.now, schedule.Completion{ID: s.ID, Result: schedule.ResultFinished})
			return
		}
	}
}

// BenchmarkLargeFleetArrival measures an arrival at a router that gets 20 a second, and
// BenchmarkLargeFleetFlood one at a router that gets 500 a second of one organisation.
func BenchmarkLargeFleetArrival(b *testing.B) {
	benchmarkArrivals(b, 50*time.Millisecond, largeOrganisations)
}

func BenchmarkLargeFleetFlood(b *testing.B) { benchmarkArrivals(b, 2*time.Millisecond, 1) }

func benchmarkArrivals(b *testing.B, interval time.Duration, organisations int) {
	f := newLargeFleet()
	for i := range b.N {
		f.now = f.now.Add(interval)
		f.arrive(fmt.Sprint("o", i%organisations))
	}
}

// BenchmarkLargeFleetPulse measures the report of a peer.
func BenchmarkLargeFleetPulse(b *testing.B) {
	f := newLargeFleet()
	for range b.N {
		f.now = f.now.Add(14 * time.Millisecond)
		f.pulse()
	}
}

// TestSumsOfRatesEqualThoseOfReports lets peers report, fall silent and leave in any
// order: the sums are those of the reports that count.
func TestSumsOfRatesEqualThoseOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(5000, 0)
		f := newFleetSums()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			id := view.RouterID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "peer"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f.expire(now.Add(-2 * time.Second))
			case 1:
				f.retain(map[view.RouterID]bool{"a": true, id: true})
			default:
				rates := map[string]usageRates{}
				for _, o := range []string{"x", "y", "z"} {
					if rapid.Bool().Draw(t, o) {
						rates[o] = usageRates{rapid.Float64Range(0, 1e7).Draw(t, "requested"), rapid.Float64Range(0, 1e3).Draw(t, "received"), 1}
					}
				}
				f.set(id, peerRates{rates, now})
			}
			want := map[string]usageRates{}
			for _, reported := range f.peers {
				for name, o := range reported.rates {
					want[name] = want[name].plus(o)
				}
			}
			if len(want) != len(f.sums) {
				t.Fatalf("%d organisations, want %d", len(f.sums), len(want))
			}
			for name, o := range want {
				s := f.sums[name]
				for _, difference := range []float64{s.requested - o.requested, s.received - o.received, s.unserved - o.unserved} {
					if math.Abs(difference) > 1e-6 {
						t.Fatalf("%s: %+v, want %+v", name, s.usageRates, o)
					}
				}
			}
		}
	})
}
