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

// The tests in this file run the policies of a large fleet against endpoints of a plain
// service in virtual time. A call takes some 37 ms, and routers learn of each other's
// calls every few seconds.

const (
	plainSlots, plainQueue = 6, 24
	plainWork              = 37 * time.Millisecond
)

// plainCall is a call at an endpoint or on its way back.
type plainCall struct {
	router int
	id     schedule.RequestID
}

// plainEndpoint answers calls in order of arrival, plainSlots at a time, and rejects
// those that find its queue full.
type plainEndpoint struct {
	waiting []plainCall
	running map[plainCall]time.Time
}

// plainFleet is a fleet of routers whose failure domains have one endpoint each.
type plainFleet struct {
	now       time.Time
	random    *rand.Rand
	policies  []*Policy
	endpoints map[view.EndpointID]*plainEndpoint
	// arrivals are the calls that each endpoint got in the last second.
	arrivals          map[view.EndpointID]int
	sent              schedule.RequestID
	refused, rejected int
	due               []func()
}

func newPlainFleet(routers, domains int) *plainFleet {
	f := &plainFleet{
		now: time.Unix(5000, 0), random: rand.New(rand.NewPCG(5, 1)), endpoints: map[view.EndpointID]*plainEndpoint{}, arrivals: map[view.EndpointID]int{},
	}
	v := view.Snapshot{Pools: map[string]view.Pool{"p": {}}}
	for i := range domains {
		id := view.EndpointID(fmt.Sprint("e", i))
		f.endpoints[id] = &plainEndpoint{running: map[plainCall]time.Time{}}
		v.Endpoints = append(v.Endpoints, view.Endpoint{ID: id, Pool: "p", Slots: plainSlots, FailureDomain: fmt.Sprint("d", i)})
	}
	for i := range routers {
		v.Routers = append(v.Routers, view.Router{ID: routerID(i), FailureDomain: fmt.Sprint("d", i%domains)})
	}
	for i := range routers {
		own := v
		own.Self = routerID(i)
		f.policies = append(f.policies, New(Options{Source: rand.NewPCG(uint64(i), 4)}))
		f.input(i, schedule.Change{View: &own})
	}
	return f
}

func (f *plainFleet) input(router int, in schedule.Input) {
	for _, out := range append([]schedule.Output{}, f.policies[router].Step(f.now, in)...) {
		switch o := out.(type) {
		case schedule.Start:
			call := plainCall{router, o.ID}
			e := f.endpoints[o.Endpoint]
			f.arrivals[o.Endpoint]++
			if len(e.waiting) >= plainQueue {
				f.rejected++
				f.due = append(f.due, func() { f.input(router, schedule.Completion{ID: o.ID, Result: schedule.ResultRejected}) })
				continue
			}
			e.waiting = append(e.waiting, call)
		case schedule.Refusal:
			f.refused++
		case schedule.Send:
			var to int
			if _, err := fmt.Sscanf(string(o.To), "r%d", &to); err != nil {
				panic(err)
			}
			m := o.Message
			f.due = append(f.due, func() { f.input(to, schedule.Delivery{From: routerID(router), Message: m}) })
		}
	}
}

// run sends the given number of calls a second, in clumps of three at one router, a
// part of them at the routers of the first domain.
func (f *plainFleet) run(t *testing.T, seconds int, perSecond, firstDomain float64) (busiest float64) {
	t.Helper()
	due := 0.0
	for second := range seconds {
		clear(f.arrivals)
		for range int(time.Second / testStep) {
			f.now = f.now.Add(testStep)
			for due += perSecond * testStep.Seconds(); due >= 3; due -= 3 {
				router := f.random.IntN(len(f.policies))
				if f.random.Float64() < firstDomain {
					router -= router % len(f.endpoints)
				}
				for range 3 {
					f.sent++
					f.input(router, schedule.Arrival{Request: schedule.Request{
						ID: f.sent, Pool: "p", MayWait: true, Objective: f.now.Add(150 * time.Millisecond), Deadline: f.now.Add(1500 * time.Millisecond),
					}})
				}
			}
			f.advance()
		}
		if second < 5 {
			continue // routers have not reported yet
		}
		for _, n := range f.arrivals {
			busiest = max(busiest, float64(n)*float64(len(f.endpoints))/perSecond)
		}
	}
	return busiest
}

func (f *plainFleet) advance() {
	for i := range f.endpoints {
		e := f.endpoints[i]
		for call, endsAt := range e.running {
			if !f.now.Before(endsAt) {
				delete(e.running, call)
				f.due = append(f.due, func() { f.input(call.router, schedule.Completion{ID: call.id, Result: schedule.ResultFinished}) })
			}
		}
		for len(e.running) < plainSlots && len(e.waiting) > 0 {
			e.running[e.waiting[0]] = f.now.Add(time.Duration((0.5 + f.random.Float64()) * float64(plainWork)))
			e.waiting = e.waiting[1:]
		}
	}
	due := f.due
	f.due = nil
	for _, apply := range due {
		apply()
	}
	for i := range f.policies {
		f.input(i, schedule.Alarm{})
	}
}

// TestPlainCallsSpreadOverEndpointsOfALargeFleet covers herding: 295 routers send 485
// calls a second to five endpoints, 0.6 of what these can serve. Routers that take loads
// reported seconds ago for the present ones all avoid the same endpoints, overrun the
// others, and refuse calls as if no slot were free.
func TestPlainCallsSpreadOverEndpointsOfALargeFleet(t *testing.T) {
	for _, firstDomain := range []float64{0, 0.5} {
		t.Run(fmt.Sprint(firstDomain), func(t *testing.T) {
			is := is.New(t)
			f := newPlainFleet(295, 5)
			busiest := f.run(t, 12, 485, firstDomain)
			t.Logf("of %d calls %d refused and %d rejected; the busiest endpoint got %.2f of its part in a second", f.sent, f.refused, f.rejected, busiest)
			is.Equal(f.refused, 0)
			is.Equal(f.rejected, 0)
			is.True(busiest <= 1.5) // 146 calls a second, of 162 that an endpoint can serve
		})
	}
}
