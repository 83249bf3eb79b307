package rehearsal

import (
	"net"
	"net/netip"
	"time"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// Location identifies the router or the endpoint at one end of a connection. It is
// zero for callers and for the platform's services, which no rehearsal can
// isolate.
type Location struct {
	FailureDomain string
	Router        view.RouterID
	// Endpoint is the key of an endpoint in the operators' text.
	Endpoint string
}

// isolates reports whether the location is in the part of the network that the
// rehearsal cuts off from the rest.
func isolates(r *text.Rehearsal, p Location) bool {
	switch {
	case r.FailureDomain != "":
		return p.FailureDomain == r.FailureDomain
	case r.Router != "":
		return string(p.Router) == r.Router
	default:
		return r.Endpoint != "" && p.Endpoint == r.Endpoint
	}
}

func active(r *text.Rehearsal, now time.Time) bool {
	return !now.Before(r.From) && now.Before(r.Until)
}

// directory maps addresses to locations.
type directory struct {
	endpoints map[netip.AddrPort]Location
	// routers is keyed by IP address without port, since routers dial from
	// ephemeral ports.
	routers map[netip.Addr]Location
}

func (d *directory) setText(doc *text.Document) {
	d.endpoints = make(map[netip.AddrPort]Location)
	for i := range doc.Pools {
		for j := range doc.Pools[i].Endpoints {
			e := &doc.Pools[i].Endpoints[j]
			d.endpoints[e.Address] = Location{FailureDomain: e.FailureDomain, Endpoint: e.Key()}
		}
	}
}

// setRouters adds the routers of a view. Routers that have left the view keep
// their locations, because a router that is cut off is removed from the view, and
// that must not end the cut.
func (d *directory) setRouters(routers []view.Router) {
	if d.routers == nil {
		d.routers = make(map[netip.Addr]Location)
	}
	for i := range routers {
		r := &routers[i]
		d.routers[r.PeerAddress.Addr()] = Location{FailureDomain: r.FailureDomain, Router: r.ID}
	}
}

func (d *directory) locationOf(address netip.AddrPort) Location {
	if p, known := d.endpoints[address]; known {
		return p
	}
	return d.routers[address.Addr()]
}

func addressOf(a net.Addr) netip.AddrPort {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	address := tcp.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
