package listing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/view"
)

func endpoint(id, address string) view.Endpoint {
	return view.Endpoint{ID: view.EndpointID(id), Address: netip.MustParseAddrPort(address)}
}

func ids(all []view.Endpoint) string {
	s := ""
	for i := range all {
		s += string(all[i].ID)
	}
	return s
}

// TestMissingEndpointsAreRetainedAfterAnOutage checks that endpoints whose
// entries lapsed during an outage of the store are retained for a while, and
// that endpoints are removed at once when they are missing without an outage or
// have lost their address to another endpoint.
func TestMissingEndpointsAreRetainedAfterAnOutage(t *testing.T) {
	is := is.New(t)
	a, b, c := endpoint("a", "10.0.0.1:80"), endpoint("b", "10.0.0.2:80"), endpoint("c", "10.0.0.1:80")
	table := New(Limits{LapseTime: 2400 * time.Millisecond, RelistTime: 2 * time.Second})
	now := time.Unix(100, 0)
	is.Equal(ids(table.Update(now, []view.Endpoint{a, b})), "ab")
	now = now.Add(1400 * time.Millisecond)
	is.Equal(ids(table.Update(now, []view.Endpoint{a})), "a") // removed; the time between the lists was too short for a lapse
	is.Equal(ids(table.Update(now, []view.Endpoint{a, b})), "ab")
	now = now.Add(5 * time.Second)
	is.Equal(ids(table.Update(now, nil)), "ab") // the entries lapsed during the outage
	now = now.Add(time.Second)
	is.Equal(ids(table.Update(now, []view.Endpoint{c})), "bc") // a's address belongs to c now
	now = now.Add(1100 * time.Millisecond)
	is.Equal(ids(table.Update(now, []view.Endpoint{c})), "c") // b is still missing, so it is removed
}

// TestEmptyListIsDoubtedForALimitedTime guards against a list that lacks all endpoints for
// a moment and ends them, and against doubts that last longer than endpoints that have gone
// may get requests, or that make an outage of such a list.
func TestEmptyListIsDoubtedForALimitedTime(t *testing.T) {
	is := is.New(t)
	a, b := endpoint("a", "10.0.0.1:80"), endpoint("b", "10.0.0.2:80")
	start := time.Unix(100, 0)
	filled := func(list ...view.Endpoint) *Table {
		table := New(Limits{LapseTime: time.Second, RelistTime: 2 * time.Second, DoubtTime: 1700 * time.Millisecond})
		is.True(!table.Doubts(start, nil)) // nothing was known
		table.Update(start, list)
		return table
	}
	table := filled(a, b)
	for _, age := range []time.Duration{500, 1000, 1699} {
		is.True(table.Doubts(start.Add(age*time.Millisecond), nil))
	}
	is.True(!table.Doubts(start.Add(1700*time.Millisecond), nil))
	is.Equal(ids(table.Update(start.Add(1700*time.Millisecond), nil)), "") // no outage, as lists were read

	table = filled(a, b)
	is.True(table.Doubts(start.Add(time.Second), nil))
	table.Update(start.Add(100*time.Millisecond), []view.Endpoint{a, b}) // relayed
	is.Equal(ids(table.Update(start.Add(1900*time.Millisecond), nil)), "")

	now := start.Add(time.Second)
	is.True(!filled(a, b).Doubts(now, []view.Endpoint{b}))
	is.True(!filled(a).Doubts(now, nil))
	a.Leaving = true
	is.True(!filled(a, b).Doubts(now, nil))
	a.Leaving = false
	table = filled(a, b)
	is.True(!table.Doubts(now.Add(time.Second), nil)) // entries may have lapsed since the last list
	is.Equal(ids(table.Update(now.Add(time.Second), nil)), "ab")
}
