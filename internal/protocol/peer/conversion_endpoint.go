package peer

import (
	"time"

	"hyssopreach/internal/coordination/endpoint"
	"hyssopreach/internal/state/view"
)

// FromEndpointNews converts news of endpoints to its wire form.
func FromEndpointNews(n endpoint.Update) *EndpointNews {
	m := &EndpointNews{ListVersion: n.ListVersion, ListAsOfUnixMillis: toMillis(n.ListAsOf)}
	for _, s := range n.States {
		m.Endpoints = append(m.Endpoints, &EndpointState{
			Endpoint: string(s.ID), Leaving: s.Leaving, Gone: s.Gone, Models: s.Models,
			EjectedUntilUnixMillis: toMillis(s.EjectedUntil), AsOfUnixMillis: toMillis(s.AsOf),
		})
	}
	return m
}

// ToEndpointNews converts news of endpoints from its wire form.
func ToEndpointNews(m *EndpointNews) endpoint.Update {
	n := endpoint.Update{ListVersion: m.GetListVersion(), ListAsOf: fromMillis(m.GetListAsOfUnixMillis())}
	for _, s := range m.GetEndpoints() {
		n.States = append(n.States, endpoint.State{
			ID: view.EndpointID(s.GetEndpoint()), Leaving: s.GetLeaving(), Gone: s.GetGone(), Models: s.GetModels(),
			EjectedUntil: fromMillis(s.GetEjectedUntilUnixMillis()), AsOf: fromMillis(s.GetAsOfUnixMillis()),
		})
	}
	return n
}

// toMillis keeps the zero time zero.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}
