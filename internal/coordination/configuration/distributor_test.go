package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxInForceDelay is the time within which a change must be in force on every
// router. expectedInForceDelay is the shorter time that the design aims for.
const (
	maxInForceDelay      = 14 * time.Second
	expectedInForceDelay = 2 * time.Second
)

func TestChangeIsInForceOnAllRouters(t *testing.T) {
	for _, size := range []struct{ routers, domains int }{{1, 1}, {7, 3}, {360, 8}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(size.routers, size.domains, 1)
			f.run(5 * time.Second)
			f.publish("a", 0)
			f.run(expectedInForceDelay)
			is.Equal(f.countBehind(1), 0)
			readers := 0
			for _, n := range f.nodes {
				if n.reads > 0 {
					readers++
				}
				is.True(n.served <= 8) // no router serves the text to the whole fleet
				is.Equal(n.violations, 0)
			}
			is.True(readers <= 2*size.domains)
		})
	}
}

func TestChangeReachesAllRoutersDespiteLostOffers(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 3, 2)
	f.loss = 0.5
	f.run(5 * time.Second)
	f.publish("a", 0)
	f.run(maxInForceDelay)
	is.Equal(f.countBehind(1), 0)
}

func TestRestartedRoutersFetchFromPeersWhileLogIsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 3)
	f.publish("a", 0)
	f.run(5 * time.Second)
	f.logDown = true
	for _, n := range f.nodes[:4] {
		f.restart(n, 3)
	}
	f.run(expectedInForceDelay)
	is.Equal(f.countBehind(1), 0)
	f.logDown = false
	f.publish("b", 1)
	f.run(5 * time.Second) // the readers' delay before they try the log again
	is.Equal(f.countBehind(2), 0)
}

func TestTextSurvivesLogRetention(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 4)
	f.publish("a", 0)
	f.retention = time.Minute
	f.run(10 * time.Minute)
	is.True(f.oldest() > 0) // the log no longer holds the publish
	is.True(len(f.log) < 60)
	for _, n := range f.nodes {
		f.restart(n, 3) // no router has the text in memory
	}
	f.run(maxInForceDelay)
	is.Equal(f.countBehind(1), 0)
	f.publish("b", 1)
	f.run(expectedInForceDelay)
	is.Equal(f.countBehind(2), 0)
}

func TestReadersRecoverAfterLongLogOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 5)
	f.publish("a", 0)
	f.run(5 * time.Second)
	f.logDown = true
	f.retention = time.Minute
	f.run(10 * time.Minute)
	f.logDown = false // the log no longer holds the publish
	f.run(10 * time.Second)
	is.True(f.oldest() < uint64(len(f.log))) // a reader has appended a snapshot
	f.publish("b", 1)
	f.run(expectedInForceDelay)
	is.Equal(f.countBehind(2), 0)
}

func TestConcurrentPublishesNeverRevert(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 6)
	f.retention = 30 * time.Second
	for i := range 1000 {
		f.publish(fmt.Sprint(i), f.nodes[f.random.IntN(7)].distributor.InForce().Revision)
		f.run(time.Duration(f.random.IntN(200)) * time.Millisecond)
		if i%100 == 50 {
			f.restart(f.nodes[f.random.IntN(7)], 3)
		}
	}
	f.run(expectedInForceDelay)
	last := f.nodes[0].distributor.InForce()
	is.True(last.Revision > 100)
	for _, n := range f.nodes {
		is.Equal(n.distributor.InForce().Version, last.Version)
		is.True(!n.reverted)
		is.Equal(n.violations, 0)
	}
}
