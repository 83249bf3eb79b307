package peer

import (
	"fmt"
	"net/netip"
	"time"

	"hyssopreach/internal/coordination/listing"
	"hyssopreach/internal/state/view"
)

// FromEndpointHistory converts a history of endpoints to its wire form, in which
// instants are ages.
func FromEndpointHistory(now time.Time, h listing.History) *EndpointHistory {
	m := &EndpointHistory{}
	if !h.RestoredAt.IsZero() {
		m.RestoredAgeMillis = uint64(max(now.Sub(h.RestoredAt)/time.Millisecond, 1))
	}
	for i := range h.Known {
		e := &h.Known[i]
		m.Known = append(m.Known, &KnownEndpoint{
			Endpoint: string(e.ID), Pool: e.Pool, VM: e.VM, FailureDomain: e.FailureDomain, Address: e.Address.String(),
			Slots: int64(e.Slots), MemoryTokens: e.MemoryTokens, Models: e.Models, Leaving: e.Leaving, Sequence: e.Sequence,
		})
	}
	for _, id := range h.Stated {
		m.Stated = append(m.Stated, string(id))
	}
	for _, g := range h.Departed {
		age := uint64(max(now.Sub(g.At), 0)/time.Millisecond) + 1
		m.Departed = append(m.Departed, &DepartedEndpoint{Endpoint: string(g.ID), Sequence: g.Sequence, AgeMillis: age})
	}
	return m
}

// ToEndpointHistory converts a history of endpoints from its wire form. The order of
// a departure and of the restore is that of the sender.
func ToEndpointHistory(now time.Time, m *EndpointHistory) (listing.History, error) {
	var h listing.History
	before := func(ageMillis uint64) time.Time { return now.Add(-time.Duration(ageMillis) * time.Millisecond) }
	if age := m.GetRestoredAgeMillis(); age > 0 {
		h.RestoredAt = before(age)
	}
	for _, e := range m.GetKnown() {
		address, err := netip.ParseAddrPort(e.GetAddress())
		if err != nil {
			return listing.History{}, fmt.Errorf("read history of endpoint %s: %w", e.GetEndpoint(), err)
		}
		h.Known = append(h.Known, view.Endpoint{
			ID: view.EndpointID(e.GetEndpoint()), Pool: e.GetPool(), VM: e.GetVM(), FailureDomain: e.GetFailureDomain(), Address: address,
			Slots: int(e.GetSlots()), MemoryTokens: e.GetMemoryTokens(), Models: e.GetModels(), Leaving: e.GetLeaving(), Sequence: e.GetSequence(),
		})
	}
	for _, id := range m.GetStated() {
		h.Stated = append(h.Stated, view.EndpointID(id))
	}
	for _, g := range m.GetDeparted() {
		h.Departed = append(h.Departed, listing.Departure{ID: view.EndpointID(g.GetEndpoint()), Sequence: g.GetSequence(), At: before(g.GetAgeMillis())})
	}
	return h, nil
}
