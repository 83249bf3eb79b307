package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/listing"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// TestMomentWithoutEntriesIsBridged guards against a fleet that refuses all requests
// because the store lacks the entries of all endpoints at once for a moment, and against
// requests to endpoints that have gone together, later than they may be sent.
func TestMomentWithoutEntriesIsBridged(t *testing.T) {
	is := is.New(t)
	s := &store{version: 1, refused: map[view.RouterID]bool{}, list: listOfTwo}
	// A router that gets its list from another reads the store itself within LapseTime.
	fleet := startHostedFleet(t, s, 3, func(o *HostedOptions) {
		o.Listing = listing.Limits{LapseTime: 2400 * time.Millisecond, RelistTime: 2500 * time.Millisecond}
	})
	open := &text.Organisation{}
	set := func(list string) (at time.Time, reads int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.list = list
		return time.Now(), s.listReads
	}
	listReads := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.listReads
	}
	for _, r := range fleet {
		waitFor(t, "two endpoints", func() bool { return len(r.fleet.View().Endpoints) == 2 && r.core.MaySend(open, "e#0") })
	}
	at, reads := set(listOfNone)
	for listReads() < reads+2 && time.Since(at) < time.Second {
		for _, r := range fleet {
			is.Equal(len(r.fleet.View().Endpoints), 2)
		}
		time.Sleep(5 * time.Millisecond)
	}
	set(listOfTwo)
	for _, r := range fleet {
		waitFor(t, "requests may be sent", func() bool { return r.core.MaySend(open, "e#0") && r.sources.listAge() < time.Since(at) })
		is.Equal(len(r.fleet.View().Endpoints), 2)
	}

	at, _ = set(listOfNone)
	for left := true; left; time.Sleep(time.Millisecond) {
		left = false
		for _, r := range fleet {
			left = left || len(r.fleet.View().Endpoints) > 0
			asked := time.Now()
			if r.core.MaySend(open, "e#0") && asked.Sub(at) > r.options.DrainWithin {
				t.Errorf("%s may send %v after the entries were removed", r.self.ID, asked.Sub(at))
			}
		}
		is.True(time.Since(at) < 10*time.Second)
	}
}
