package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	coordination "hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/tool/membership"
)

// controlBytesPerSecond limits the control traffic of one node.
const controlBytesPerSecond = 24 << 10

// TestFleetFormsWithBoundedTraffic guards against routers that do not find each
// other after the start, and against heartbeats that use more than an eighth of
// the limit on a node's control traffic.
func TestFleetFormsWithBoundedTraffic(t *testing.T) {
	for _, size := range []int{1, 3, 7, 9, 360} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			f := membership.NewFleet(size, 8, 1)
			f.Run(15 * time.Second)
			is.True(f.Converged())
			f.ResetCounts()
			f.Run(5 * time.Second)
			is.True(f.Converged())
			is.True(f.Traffic(5*time.Second).MaxBytesPerSecond < controlBytesPerSecond/8) // without changes
		})
	}
}

// TestStoppedRouterIsRemovedEverywhere guards against a router that remains in
// a view 5 s after it stopped without notice, or that is missing or damped 3 s
// after its restart.
func TestStoppedRouterIsRemovedEverywhere(t *testing.T) {
	for _, size := range []int{7, 60} {
		is := is.New(t)
		f := membership.NewFleet(size, 3, 2)
		f.Run(15 * time.Second)
		f.Stop(f.Nodes[4])
		f.Run(5 * time.Second)
		is.True(f.Converged())
		f.Start(f.Nodes[4])
		f.Run(3 * time.Second)
		is.True(f.Converged())
		is.True(!f.Nodes[0].Routers[4].Draining) // a single restart does not count as flapping
	}
}

// TestLeavingRouterIsRemovedAtOnce guards against a router that drains or leaves
// without the other routers learning of it in time. They would then detect its
// stop only by missing heartbeats.
func TestLeavingRouterIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(7, 3, 3)
	f.Run(15 * time.Second)
	f.Deliver(f.Nodes[2], coordination.Drain{})
	f.Run(time.Second)
	is.True(f.Nodes[0].Routers[2].Draining)
	f.Deliver(f.Nodes[2], coordination.Leave{})
	f.Run(10 * time.Millisecond)
	f.Stop(f.Nodes[2])
	f.Run(500 * time.Millisecond)
	is.True(f.Converged())
}

// TestCutBetweenTwoRoutersRemovesNeither guards against the removal of a router
// whose heartbeats are lost on the way to a single other router.
func TestCutBetweenTwoRoutersRemovesNeither(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{7, 60} {
		f := membership.NewFleet(size, 3, 4)
		f.Run(15 * time.Second)
		a, b := f.Nodes[1], f.Nodes[2]
		f.Cut = func(from, to *membership.Node) bool { return from == a && to == b } // in one direction only
		for range 60 {
			f.Run(time.Second)
			for _, n := range f.Nodes {
				is.Equal(len(n.Routers), size)
			}
		}
	}
}

// TestFailureDomainRejoinsAfterCut guards against a fleet that stops working
// while a failure domain is cut off, or remains split after the cut.
func TestFailureDomainRejoinsAfterCut(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(60, 4, 5)
	f.Run(15 * time.Second)
	domain := make(map[*membership.Node]bool)
	for i, n := range f.Nodes {
		domain[n] = i%4 == 0
	}
	f.Cut = func(from, to *membership.Node) bool { return domain[from] != domain[to] }
	f.Run(20 * time.Second)
	is.Equal(len(f.Nodes[0].Routers), 15) // both sides continue
	is.Equal(len(f.Nodes[1].Routers), 45)
	f.Cut = nil
	f.Run(10 * time.Second)
	is.True(f.Converged())
}

// TestRestartOfAThirdHasBoundedTraffic guards against a storm of messages or of
// new views while a third of the routers restart within a few seconds.
func TestRestartOfAThirdHasBoundedTraffic(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(120, 8, 6)
	f.Run(20 * time.Second)
	f.ResetCounts()
	for i := range 40 {
		f.Start(f.Nodes[3*i])
		f.Run(100 * time.Millisecond)
	}
	f.Run(8 * time.Second)
	is.True(f.Converged())
	is.True(f.Traffic(12*time.Second).MaxBytesPerSecond < controlBytesPerSecond)
	for _, n := range f.Nodes {
		is.True(n.ViewChanges <= 60) // at most one per 200 ms
	}
}

// TestResumedRouterSuspectsNoOtherRouter guards against a router that has
// received no heartbeats during a pause, and suspects or removes the other
// routers after it.
func TestResumedRouterSuspectsNoOtherRouter(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(7, 3, 7)
	f.Run(15 * time.Second)
	f.Nodes[3].Paused = true
	f.Run(10 * time.Second)
	is.Equal(len(f.Nodes[0].Routers), 6) // the paused router is considered dead
	f.Resume(f.Nodes[3])
	for range 50 {
		f.Run(100 * time.Millisecond)
		is.Equal(len(f.Nodes[3].Routers), 7)
		for _, r := range f.Nodes[3].Routers {
			is.True(!r.Suspected)
		}
	}
	is.True(f.Converged())
}

// TestFlappingRouterIsMarkedDraining guards against a router that stops and
// restarts repeatedly and still owns keys, and against one that remains damped
// after it has been stable for 3 minutes.
func TestFlappingRouterIsMarkedDraining(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(7, 3, 8)
	f.Run(15 * time.Second)
	for range 3 {
		f.Stop(f.Nodes[5])
		f.Run(5 * time.Second)
		f.Start(f.Nodes[5])
		f.Run(5 * time.Second)
	}
	is.True(f.Nodes[0].Routers[5].Draining) // in the view, but damped
	f.Run(3 * time.Minute)
	is.True(!f.Nodes[0].Routers[5].Draining)
}
