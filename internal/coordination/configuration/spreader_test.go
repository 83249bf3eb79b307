package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// inForceTarget is the time within which a change has to be in force on every
// router; inForceAim is what this design aims at.
const (
	inForceTarget = 14 * time.Second
	inForceAim    = 2 * time.Second
)

func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, size := range []struct{ routers, domains int }{{1, 1}, {7, 3}, {360, 8}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(size.routers, size.domains, 1)
			f.run(5 * time.Second)
			f.publish("a", 0)
			f.run(inForceAim)
			is.Equal(f.lagging(1), 0)
			readers := 0
			for _, n := range f.nodes {
				if n.reads > 0 {
					readers++
				}
				is.True(n.served <= 8) // nobody serves the text to the whole fleet
				is.Equal(n.broken, 0)
			}
			is.True(readers <= 2*size.domains)
		})
	}
}

func TestOfferLossIsMadeGood(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 3, 2)
	f.loss = 0.5
	f.run(5 * time.Second)
	f.publish("a", 0)
	f.run(inForceTarget)
	is.Equal(f.lagging(1), 0)
}

func TestEmptyRouterLearnsFromPeersWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 3)
	f.publish("a", 0)
	f.run(5 * time.Second)
	f.logDown = true
	for _, n := range f.nodes[:4] {
		f.restart(n, 3)
	}
	f.run(inForceAim)
	is.Equal(f.lagging(1), 0)
	f.logDown = false
	f.publish("b", 1)
	f.run(5 * time.Second) // the readers' delay before they try the log again
	is.Equal(f.lagging(2), 0)
}

func TestTextOutlivesTheLogsRetention(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 4)
	f.publish("a", 0)
	f.kept = time.Minute
	f.run(10 * time.Minute)
	is.True(f.oldest() > 0) // the log has forgotten the publish
	is.True(len(f.log) < 60)
	for _, n := range f.nodes {
		f.restart(n, 3) // nobody remembers anything
	}
	f.run(inForceTarget)
	is.Equal(f.lagging(1), 0)
	f.publish("b", 1)
	f.run(inForceAim)
	is.Equal(f.lagging(2), 0)
}

func TestReadersOutlastALongOutageOfTheLog(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 5)
	f.publish("a", 0)
	f.run(5 * time.Second)
	f.logDown = true
	f.kept = time.Minute
	f.run(10 * time.Minute)
	f.logDown = false // the publish has been forgotten meanwhile
	f.run(10 * time.Second)
	is.True(f.oldest() < uint64(len(f.log))) // appended again
	f.publish("b", 1)
	f.run(inForceAim)
	is.Equal(f.lagging(2), 0)
}

func TestRacingPublishesNeverRevert(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 3, 6)
	f.kept = 30 * time.Second
	for i := range 1000 {
		f.publish(fmt.Sprint(i), f.nodes[f.random.IntN(7)].spreader.InForce().Revision)
		f.run(time.Duration(f.random.IntN(200)) * time.Millisecond)
		if i%100 == 50 {
			f.restart(f.nodes[f.random.IntN(7)], 3)
		}
	}
	f.run(inForceAim)
	last := f.nodes[0].spreader.InForce()
	is.True(last.Revision > 100)
	for _, n := range f.nodes {
		is.Equal(n.spreader.InForce().Version, last.Version)
		is.True(!n.reverted)
		is.Equal(n.broken, 0)
	}
}
