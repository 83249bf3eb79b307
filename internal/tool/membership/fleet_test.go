package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	coordination "hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/tool/membership"
)

// controlBudget is what a node may send a second for all control together.
const controlBudget = 24 << 10

func TestFleetFormsAtBoundedCost(t *testing.T) {
	for _, size := range []int{1, 3, 7, 9, 360} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			f := membership.NewFleet(size, 8, 1)
			f.Run(15 * time.Second)
			is.True(f.Agreed())
			f.ResetCounts()
			f.Run(5 * time.Second)
			is.True(f.Agreed())
			is.True(f.Traffic(5*time.Second).MaxBytesPerSecond < controlBudget/8) // at rest
		})
	}
}

func TestStoppedRouterIsDeadEverywhereSoon(t *testing.T) {
	for _, size := range []int{7, 60} {
		is := is.New(t)
		f := membership.NewFleet(size, 3, 2)
		f.Run(15 * time.Second)
		f.Stop(f.Nodes[4])
		f.Run(5 * time.Second)
		is.True(f.Agreed())
		f.Start(f.Nodes[4])
		f.Run(3 * time.Second)
		is.True(f.Agreed())
		is.True(!f.Nodes[0].Routers[4].Draining) // one restart is no flapping
	}
}

func TestGoodbyeIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(7, 3, 3)
	f.Run(15 * time.Second)
	f.Tell(f.Nodes[2], coordination.Drain{})
	f.Run(time.Second)
	is.True(f.Nodes[0].Routers[2].Draining)
	f.Tell(f.Nodes[2], coordination.Leave{})
	f.Run(10 * time.Millisecond)
	f.Stop(f.Nodes[2])
	f.Run(500 * time.Millisecond)
	is.True(f.Agreed())
}

func TestCutBetweenTwoRoutersRemovesNeither(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{7, 60} {
		f := membership.NewFleet(size, 3, 4)
		f.Run(15 * time.Second)
		a, b := f.Nodes[1], f.Nodes[2]
		f.Cut = func(from, to *membership.Node) bool { return from == a && to == b } // one way only
		for range 60 {
			f.Run(time.Second)
			for _, n := range f.Nodes {
				is.Equal(len(n.Routers), size)
			}
		}
	}
}

func TestDomainCutOffComesBack(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(60, 4, 5)
	f.Run(15 * time.Second)
	domain := make(map[*membership.Node]bool)
	for i, n := range f.Nodes {
		domain[n] = i%4 == 0
	}
	f.Cut = func(from, to *membership.Node) bool { return domain[from] != domain[to] }
	f.Run(20 * time.Second)
	is.Equal(len(f.Nodes[0].Routers), 15) // both sides go on
	is.Equal(len(f.Nodes[1].Routers), 45)
	f.Cut = nil
	f.Run(10 * time.Second)
	is.True(f.Agreed())
}

func TestRestartOfAThirdIsNoStorm(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(120, 8, 6)
	f.Run(20 * time.Second)
	f.ResetCounts()
	for i := range 40 {
		f.Start(f.Nodes[3*i])
		f.Run(100 * time.Millisecond)
	}
	f.Run(8 * time.Second)
	is.True(f.Agreed())
	is.True(f.Traffic(12*time.Second).MaxBytesPerSecond < controlBudget)
	for _, n := range f.Nodes {
		is.True(n.Changes <= 60) // at most one each 200 ms
	}
}

func TestPausedRouterDoesNotSuspectTheOthers(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(7, 3, 7)
	f.Run(15 * time.Second)
	f.Nodes[3].Paused = true
	f.Run(10 * time.Second)
	is.Equal(len(f.Nodes[0].Routers), 6) // taken for dead
	f.Resume(f.Nodes[3])
	for range 50 {
		f.Run(100 * time.Millisecond)
		is.Equal(len(f.Nodes[3].Routers), 7)
		for _, r := range f.Nodes[3].Routers {
			is.True(!r.Suspected)
		}
	}
	is.True(f.Agreed())
}

func TestFlappingRouterOwnsNothing(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(7, 3, 8)
	f.Run(15 * time.Second)
	for range 3 {
		f.Stop(f.Nodes[5])
		f.Run(5 * time.Second)
		f.Start(f.Nodes[5])
		f.Run(5 * time.Second)
	}
	is.True(f.Nodes[0].Routers[5].Draining) // listed, but held off
	f.Run(3 * time.Minute)
	is.True(!f.Nodes[0].Routers[5].Draining)
}
