package listing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/view"
)

// TestStatementThatEndpointLeavesOutweighsLists guards against an endpoint that has said
// that it leaves and gets requests again, since a list states that it is ready or lacks
// it for a time.
func TestStatementThatEndpointLeavesOutweighsLists(t *testing.T) {
	is := is.New(t)
	table := New(Limits{LapseTime: time.Second, RelistTime: 2 * time.Second})
	a, b := endpoint("a#0", "10.0.0.1:80"), endpoint("b#0", "10.0.0.2:80")
	leaving := func(all []view.Endpoint) (ids string) {
		for i := range all {
			if all[i].Leaving {
				ids += string(all[i].ID) + " "
			}
		}
		return ids
	}
	now := time.Unix(100, 0)
	is.Equal(leaving(table.Update(now, []view.Endpoint{a, b})), "")
	table.RecordLeaving(now, a.ID)
	is.Equal(len(table.History(now).Known), 2)
	for _, known := range table.History(now).Known {
		is.Equal(known.Leaving, known.ID == a.ID) // routers that start learn it
	}

	// A list that is read later states that it is ready.
	for range 200 {
		now = now.Add(500 * time.Millisecond)
		a.Sequence++
		is.Equal(leaving(table.Update(now, []view.Endpoint{a, b})), "a#0 ")
	}
	// The endpoint is missing from lists and listed again as the same start.
	for range 5 {
		now = now.Add(500 * time.Millisecond)
		is.Equal(leaving(table.Update(now, []view.Endpoint{b})), "")
	}
	is.Equal(leaving(table.Update(now, []view.Endpoint{a, b})), "a#0 ")
	// After an outage, it is retained without an entry.
	now = now.Add(5 * time.Second)
	is.Equal(leaving(table.Update(now, []view.Endpoint{b})), "a#0 ")
	// The store comes back from an older copy.
	table.Restored(now)
	now = now.Add(500 * time.Millisecond)
	a.Sequence -= 10
	is.Equal(leaving(table.Update(now, []view.Endpoint{a, b})), "a#0 ")
	// Another router knows a newer entry of it.
	a.Sequence += 20
	table.Learn(History{Known: []view.Endpoint{a}})
	is.Equal(leaving(table.Update(now, []view.Endpoint{a, b})), "a#0 ")

	// Another start of the endpoint is sound.
	next := endpoint("a#1", "10.0.0.1:80")
	now = now.Add(500 * time.Millisecond)
	is.Equal(leaving(table.Update(now, []view.Endpoint{next, b})), "")
	// The statement is forgotten once its start has been missing for long.
	is.Equal(len(table.leaving), 1)
	now = now.Add(goneLifetime + time.Second)
	is.Equal(leaving(table.Update(now, []view.Endpoint{next, b})), "")
	is.Equal(len(table.leaving), 0)
}

// TestStatementOfUnlistedEndpointIsRetained guards against an endpoint that says that it
// leaves while a list lacks it, and gets requests once it is listed again.
func TestStatementOfUnlistedEndpointIsRetained(t *testing.T) {
	is := is.New(t)
	table := New(Limits{LapseTime: time.Second, RelistTime: 2 * time.Second})
	a := endpoint("a#0", "10.0.0.1:80")
	now := time.Unix(100, 0)
	table.RecordLeaving(now, a.ID)
	now = now.Add(500 * time.Millisecond)
	is.True(table.Update(now, []view.Endpoint{a})[0].Leaving)
}

// TestStatementOutlastsStandstillAndRestart guards against a router that stood still, or
// started anew and learnt the statement from another, and takes a later list at its word.
func TestStatementOutlastsStandstillAndRestart(t *testing.T) {
	is := is.New(t)
	limits := Limits{LapseTime: time.Second, RelistTime: 2 * time.Second}
	table, next := New(limits), New(limits)
	a := endpoint("a#0", "10.0.0.1:80")
	now := time.Unix(100, 0)
	table.Update(now, []view.Endpoint{a})
	table.RecordLeaving(now, a.ID)
	next.Learn(table.History(now))
	for range 3 {
		now = now.Add(goneLifetime + time.Second)
		a.Sequence++
		for _, t := range []*Table{table, next} {
			is.True(t.Update(now, []view.Endpoint{a})[0].Leaving)
		}
	}
}

// TestLearntLeavingEndsWithNewerEntry guards against an endpoint that an entry called leaving,
// and that stays out of use after it has started again under the same ID, since a router
// that started meanwhile takes that entry for a statement, and tells the others.
func TestLearntLeavingEndsWithNewerEntry(t *testing.T) {
	is := is.New(t)
	limits := Limits{LapseTime: time.Second, RelistTime: 2 * time.Second}
	table, next := New(limits), New(limits)
	a := endpoint("a#0", "10.0.0.1:80")
	a.Leaving, a.Sequence = true, 8
	now := time.Unix(100, 0)
	table.Update(now, []view.Endpoint{a})
	next.Learn(table.History(now))
	for _, sequence := range []uint64{7, 9} {
		now = now.Add(500 * time.Millisecond)
		a.Leaving, a.Sequence = false, sequence
		for _, t := range []*Table{table, next} {
			is.Equal(t.Update(now, []view.Endpoint{a})[0].Leaving, sequence < 8)
			is.Equal(len(t.Stated()), 0)
		}
	}
}

// TestListedLeavingOutweighsOlderList guards against an endpoint that is listed as leaving
// and gets requests again, since a read that is not known to be from a restored store
// states that it is ready, and against one that stays out of use after it has started again
// under the same ID.
func TestListedLeavingOutweighsOlderList(t *testing.T) {
	is := is.New(t)
	table := New(Limits{LapseTime: time.Second, RelistTime: 2 * time.Second})
	now := time.Unix(100, 0)
	for i, tt := range []struct {
		leaving  bool
		sequence uint64
		want     bool
	}{{true, 8, true}, {false, 5, true}, {false, 5, true}, {true, 9, true}, {false, 1, true}, {false, 2, false}} {
		now = now.Add(500 * time.Millisecond)
		a := endpoint("a#0", "10.0.0.1:80")
		a.Leaving, a.Sequence = tt.leaving, tt.sequence
		if got := table.Update(now, []view.Endpoint{a})[0].Leaving; got != tt.want {
			t.Errorf("list %d: leaving is %t", i, got)
		}
	}
	a := endpoint("a#0", "10.0.0.1:80")
	a.Leaving, a.Sequence = true, 20
	table.Update(now, []view.Endpoint{a})
	table.Update(now, nil)
	a.Leaving, a.Sequence = false, 1
	is.True(!table.Update(now, []view.Endpoint{a})[0].Leaving)
}

// TestStatedAreThoseThatListLacks guards against statements that other routers are not told
// although their lists lack them, or are told for ever.
func TestStatedAreThoseThatListLacks(t *testing.T) {
	is := is.New(t)
	table := New(Limits{LapseTime: time.Second, RelistTime: 2 * time.Second})
	a, b := endpoint("a#0", "10.0.0.1:80"), endpoint("b#0", "10.0.0.2:80")
	now := time.Unix(100, 0)
	table.Update(now, []view.Endpoint{a, b})
	is.Equal(len(table.Stated()), 0)
	table.RecordLeaving(now, a.ID)
	table.RecordLeaving(now, "c#0") // a list has not named it yet
	is.Equal(len(table.Stated()), 1)
	is.Equal(table.Stated()[0], a.ID)
	listed := a
	listed.Leaving = true
	for _, tt := range []struct {
		list []view.Endpoint
		want int
	}{{[]view.Endpoint{a, b}, 1}, {[]view.Endpoint{listed, b}, 0}, {[]view.Endpoint{a, b}, 1}, {[]view.Endpoint{b}, 0}} {
		now = now.Add(500 * time.Millisecond)
		table.Update(now, tt.list)
		is.Equal(len(table.Stated()), tt.want)
	}
}
