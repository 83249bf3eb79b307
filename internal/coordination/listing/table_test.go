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

func TestMissingEndpointsAfterAnOutage(t *testing.T) {
	is := is.New(t)
	a, b, c := endpoint("a", "10.0.0.1:80"), endpoint("b", "10.0.0.2:80"), endpoint("c", "10.0.0.1:80")
	table := New(Limits{LapseTime: 2400 * time.Millisecond, RelistTime: 2 * time.Second})
	now := time.Unix(100, 0)
	is.Equal(ids(table.Update(now, []view.Endpoint{a, b})), "ab")
	now = now.Add(1400 * time.Millisecond)
	is.Equal(ids(table.Update(now, []view.Endpoint{a})), "a") // gone; the gap was too short for a lapse
	is.Equal(ids(table.Update(now, []view.Endpoint{a, b})), "ab")
	now = now.Add(5 * time.Second)
	is.Equal(ids(table.Update(now, nil)), "ab") // lapsed while the store was away
	now = now.Add(time.Second)
	is.Equal(ids(table.Update(now, []view.Endpoint{c})), "bc") // the address is another's now
	now = now.Add(1100 * time.Millisecond)
	is.Equal(ids(table.Update(now, []view.Endpoint{c})), "c") // still missing: gone
}
