package peer

import (
	"time"

	"hyssopreach/internal/coordination/endpoint"
	"hyssopreach/internal/state/view"
)

// FromEndpointNews returns the wire form of news about endpoints.
func FromEndpointNews(n *endpoint.News) *EndpointNews {
	wire := &EndpointNews{
		ListVersion: n.ListVersion, ListAsOfUnixMillis: toMillis(n.ListAsOf),
		Endpoints: make([]*EndpointState, len(n.States)),
	}
	for i := range n.States {
		s := &n.States[i]
		wire.Endpoints[i] = &EndpointState{
			Endpoint: string(s.ID), Leaving: s.Leaving, Gone: s.Gone, Models: s.Models,
			EjectedUntilUnixMillis: toMillis(s.EjectedUntil), AsOfUnixMillis: toMillis(s.AsOf),
		}
	}
	return wire
}

// ToEndpointNews reads the wire form of news about endpoints.
func ToEndpointNews(wire *EndpointNews) endpoint.News {
	n := endpoint.News{
		ListVersion: wire.ListVersion, ListAsOf: fromMillis(wire.ListAsOfUnixMillis),
		States: make([]endpoint.State, len(wire.Endpoints)),
	}
	for i, w := range wire.Endpoints {
		n.States[i] = endpoint.State{
			ID: view.EndpointID(w.Endpoint), Leaving: w.Leaving, Gone: w.Gone, Models: w.Models,
			EjectedUntil: fromMillis(w.EjectedUntilUnixMillis), AsOf: fromMillis(w.AsOfUnixMillis),
		}
	}
	return n
}

// toMillis writes the zero instant as 0.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n)
}
