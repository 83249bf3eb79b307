package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// router is a model of a router that can read and refuse a number of requests
// between two samples, and rejects connections for a fraction of that work.
type router struct {
	controller Controller
	// capacity and rejectionCost are in requests; backlog is the work left over.
	capacity, rejectionCost, backlog float64
	read, rejected                   int
}

// step offers connections and takes a sample after them.
func (r *router) step(connections int) {
	for range connections {
		if r.controller.Reject(Unknown) {
			r.rejected++
			r.backlog += r.rejectionCost
		} else {
			r.read++
			r.backlog++
		}
	}
	r.backlog = max(0, r.backlog-r.capacity)
	r.controller.Observe(0, time.Duration(r.backlog/r.capacity*float64(50*time.Millisecond)), nil)
}

// TestOverloadedRouterStaysOnTime guards against a router that falls further
// behind the longer a flood lasts.
func TestOverloadedRouterStaysOnTime(t *testing.T) {
	is := is.New(t)
	r := router{capacity: 10, rejectionCost: 0.25}
	for range 200 {
		r.step(30)
	}
	is.True(r.backlog <= 10*r.capacity) // half a second of work
	r.read, r.rejected = 0, 0
	for range 200 {
		r.step(30)
	}
	is.True(r.backlog <= 10*r.capacity)
	// With all of its time used, it would read (10 - 30 * 0.25) / (1 - 0.25) of
	// 30 requests.
	is.True(float64(r.read) >= 0.6*200*(10-30*0.25)/0.75)
}

// TestLeastServedOrganisationIsRejectedLast guards against rejection by the order
// of arrival: organisations that the fleet serves well, or whose callers have other
// routers, would take the time of those that receive little.
func TestLeastServedOrganisationIsRejectedLast(t *testing.T) {
	is := is.New(t)
	var c Controller
	received := map[string]float64{"small": 1, "pinned": 50, "spread": 200}
	offered := map[string]int{"small": 2, "pinned": 100, "spread": 20, Unknown: 10}
	kept := map[string]int{}
	for i := range 400 {
		lateness := targetLateness
		if c.Fraction() < 0.8 {
			lateness = 3 * targetLateness
		}
		c.Observe(0, lateness, func(organisation string) float64 { return received[organisation] })
		for name, n := range offered {
			for range n {
				if !c.Reject(name) && i >= 200 {
					kept[name]++
				}
			}
		}
	}
	t.Logf("kept %v of 200 times %v", kept, offered)
	is.Equal(kept["small"], 200*2)
	// A quarter of the connections that are accepted, a fifth of 122, is divided evenly:
	// 2 for small, and 2.05 each for the others.
	is.True(kept["spread"] <= 200*21/10+200/20) // its even part, and what the rounding leaves
	is.True(kept["pinned"] >= 200*12 && kept["pinned"] <= 200*30)
	is.True(kept[Unknown] >= 200 && kept[Unknown] <= 200*3)
}

// TestNothingIsRejectedOnTime checks that a router with enough processor time
// rejects nothing, and that it stops to reject soon after a flood.
func TestNothingIsRejectedOnTime(t *testing.T) {
	is := is.New(t)
	r := router{capacity: 10, rejectionCost: 0.25}
	for range 200 {
		r.step(9)
	}
	is.Equal(r.rejected, 0)
	for range 100 {
		r.step(40)
	}
	is.True(r.rejected > 0)
	for range 100 {
		r.step(1)
	}
	is.Equal(r.controller.Fraction(), 0.0)
}

// TestRequestsWithoutTokensDoNotTakeAllProcessorTime guards against an organisation
// whose requests count no tokens, and which would always be first however many
// connections it opens.
func TestRequestsWithoutTokensDoNotTakeAllProcessorTime(t *testing.T) {
	is := is.New(t)
	var c Controller
	received := map[string]float64{"plain": 0, "prompts": 1000}
	offered := map[string]int{"plain": 1000, "prompts": 20}
	kept := map[string]int{}
	for i := range 400 {
		lateness := targetLateness
		if c.Fraction() < 0.8 {
			lateness = 3 * targetLateness
		}
		c.Observe(0, lateness, func(organisation string) float64 { return received[organisation] })
		for name, n := range offered {
			for range n {
				if !c.Reject(name) && i >= 200 {
					kept[name]++
				}
			}
		}
	}
	t.Logf("kept %v of 200 times %v", kept, offered)
	is.True(kept["prompts"] >= 200*20/2)
}

// TestUsedConnectionsOfALoneOrganisationAreServed guards against requests that are
// rejected after they have been read although no organisation gains by it: none
// receives less, or its connections are all accepted.
func TestUsedConnectionsOfALoneOrganisationAreServed(t *testing.T) {
	is := is.New(t)
	var c Controller
	received := map[string]float64{"lone": 100, "similar": 90}
	sample := func() {
		c.Observe(time.Second, time.Second, func(name string) float64 { return received[name] })
	}
	offer := func(names ...string) (rejectedUsed int) {
		for range 100 {
			sample()
			for _, name := range names {
				c.Reject(name)
				if c.RejectUsed(name) {
					rejectedUsed++
				}
			}
		}
		return rejectedUsed
	}
	is.Equal(offer("lone"), 0)
	is.True(c.FractionOf("lone") > 0.9)
	is.Equal(offer("lone", "similar"), 0)
	received["similar"] = 10
	is.True(offer("lone", "similar") > 50)
}

// TestOrganisationsThatReceiveTheSameGetEvenParts guards against rejections that change
// from one organisation to the other with each sample, since a small difference of what
// they receive decides who is served.
func TestOrganisationsThatReceiveTheSameGetEvenParts(t *testing.T) {
	is := is.New(t)
	var c Controller
	received := map[string]float64{"single": 100, "flood": 110}
	offered := map[string]int{"single": 20, "flood": 40}
	for range 100 {
		lateness := targetLateness
		if c.Fraction() < 0.8 {
			lateness = 3 * targetLateness
		}
		c.Observe(0, lateness, func(organisation string) float64 { return received[organisation] })
		for name, n := range offered {
			for range n {
				c.Reject(name)
			}
		}
	}
	single, flood := 20*(1-c.FractionOf("single")), 40*(1-c.FractionOf("flood"))
	t.Logf("kept between two samples: single %.1f, flood %.1f", single, flood)
	is.True(single > 0.8*flood && flood > 0.8*single)
}

// TestWaitingConnectionsAreTakenBesideUsedOnes guards against a router that reads requests
// on used connections only, so that it never learns which other organisations' connections
// wait, and against rejections of such requests while no connection waits.
func TestWaitingConnectionsAreTakenBesideUsedOnes(t *testing.T) {
	is := is.New(t)
	received := func(string) float64 { return 100 }
	rejected := func(process, queue time.Duration) int {
		var c Controller
		n := 0
		for range 40 {
			c.Observe(process, queue, received)
			if c.RejectUsed("flood") {
				n++
			}
		}
		return n
	}
	is.True(rejected(0, time.Second) > 20)
	is.Equal(rejected(time.Second, 0), 0)
}

// TestLateSamplesRaiseTheFractionByTheirTime guards against a flood that finds a router
// which rejects little for more than a second, since a late router samples seldom, and
// against a high fraction after a process was stopped while no connection waited.
func TestLateSamplesRaiseTheFractionByTheirTime(t *testing.T) {
	is := is.New(t)
	const lateness = 3 * sampleInterval
	var c Controller
	for range 3 { // 0.6 s
		c.Observe(lateness, lateness, nil)
	}
	is.True(c.Fraction() > 0.9)
	var stopped Controller
	stopped.Observe(2*time.Second, 0, nil)
	is.True(stopped.Fraction() <= maxRise)
}
