package router

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// TestStatementsOutlastReadsOfStore guards against an endpoint that gets requests again
// once the list of endpoints has been read, although it said that it leaves or asked for
// time, and against a pause that a later answer shortens.
func TestStatementsOutlastReadsOfStore(t *testing.T) {
	is := is.New(t)
	s := &store{version: 1, refused: map[view.RouterID]bool{}}
	r := startHostedFleet(t, s, 1)[0]
	open := &text.Organisation{}
	is.True(r.core.MaySend(open, "e#0"))
	// reread waits until the list has been read twice and has changed.
	reread := func() {
		s.mu.Lock()
		s.version++
		version := s.version
		s.mu.Unlock()
		waitFor(t, "the store is read", func() bool { return r.core.Table().Version == version })
		at := r.sources.current.Load().list.at
		waitFor(t, "the list is read", func() bool { return r.sources.current.Load().list.at.After(at) })
	}
	until := time.Now().Add(3 * time.Second)
	r.core.PauseEndpoint("e#0", until, "1")
	r.core.PauseEndpoint("e#0", until.Add(-time.Second), "2")
	is.True(!r.core.MaySend(open, "e#0"))
	reread()
	is.True(!r.core.MaySend(open, "e#0") || !time.Now().Before(until))
	waitFor(t, "the end of the pause", func() bool { return r.core.MaySend(open, "e#0") })
	is.True(!time.Now().Before(until))
	r.core.EndpointLeaves("e#0", "3")
	is.True(!r.core.MaySend(open, "e#0"))
	is.True(r.Fleet().Endpoints[0].Leaving)
	reread()
	is.True(!r.core.MaySend(open, "e#0"))
	r.core.PauseEndpoint("missing#0", time.Now().Add(time.Second), "4")
	r.core.EndpointLeaves("missing#0", "5")
	is.Equal(len(r.core.pauses.until), 1) // the first one has ended
	is.Equal(len(r.Fleet().Endpoints), 1)
}

// TestStatementOfListedLeavingEndpointIsRetained guards against an endpoint that gets
// requests again since the list stated that it leaves when its answer did, and a later read
// of the store states that it is ready.
func TestStatementOfListedLeavingEndpointIsRetained(t *testing.T) {
	is := is.New(t)
	s := &store{version: 1, leaving: true, refused: map[view.RouterID]bool{}}
	r := startHostedFleet(t, s, 1)[0]
	r.core.EndpointLeaves("e#0", "1")
	s.mu.Lock()
	s.leaving = false
	s.version++
	s.mu.Unlock()
	waitFor(t, "the list states that it is ready", func() bool { return string(r.sources.current.Load().list.data) == "0 false 2" })
	is.True(r.Fleet().Endpoints[0].Leaving)
	is.True(!r.core.MaySend(&text.Organisation{}, "e#0"))
}

// TestStatementSpreadsWithLists guards against routers that send requests to an endpoint
// which has told another router that it leaves, since the list does not state it. Another
// start of the endpoint must get requests.
func TestStatementSpreadsWithLists(t *testing.T) {
	is := is.New(t)
	s := &store{version: 1, refused: map[view.RouterID]bool{}}
	fleet := startHostedFleet(t, s, 7)
	open := &text.Organisation{}
	readers := fleet[0].Fleet().Owners("store", storeReaders)
	at := slices.IndexFunc(fleet, func(r *Hosted) bool { return !slices.Contains(readers, r.self.ID) })
	statedAt := time.Now()
	fleet[at].core.EndpointLeaves("e#0", "1")
	for _, r := range fleet {
		waitFor(t, "each router knows that the endpoint leaves", func() bool { return !r.core.MaySend(open, "e#0") })
	}
	drain := fleet[0].options.DrainWithin
	is.True(time.Since(statedAt) < drain)
	s.mu.Lock()
	s.start++
	s.mu.Unlock()
	for _, r := range fleet {
		waitFor(t, "another start is listed", func() bool { return r.core.MaySend(open, "e#1") })
	}
	// The reports to the store readers are lost.
	statedAt = time.Now()
	fleet[at].sources.recordLeaving("e#1")
	for _, r := range fleet {
		waitFor(t, "each router knows that the other start leaves", func() bool { return !r.core.MaySend(open, "e#1") })
	}
	is.True(time.Since(statedAt) < drain)
}

// TestPauseIsBounded guards against an endpoint that is out of use for ever since it asked
// for too long a time.
func TestPauseIsBounded(t *testing.T) {
	is := is.New(t)
	s := &store{version: 1, refused: map[view.RouterID]bool{}}
	r := startHostedFleet(t, s, 1)[0]
	r.core.PauseEndpoint("e#0", time.Now().Add(math.MaxInt64), "1")
	is.True(!r.core.MaySend(&text.Organisation{}, "e#0"))
	is.True(!r.core.pauses.paused("e#0", time.Now().Add(maxPause)))
}
