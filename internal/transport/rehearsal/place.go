package rehearsal

import (
	"net"
	"net/netip"
	"time"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// Place says what stands at an end of a connection. Callers and the
// platform's services have no place: they are outside of everything that a
// rehearsal names.
type Place struct {
	FailureDomain string
	Router        view.RouterID
	// Endpoint is an endpoint's key in the text.
	Endpoint string
}

// inside reports whether the place belongs to what the rehearsal cuts off.
func inside(r *text.Rehearsal, p Place) bool {
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

// directory finds the place of an address.
type directory struct {
	endpoints map[netip.AddrPort]Place
	// routers are known by their IP numbers, since they dial from any port.
	routers map[netip.Addr]Place
}

func (d *directory) setText(doc *text.Document) {
	d.endpoints = make(map[netip.AddrPort]Place)
	for i := range doc.Pools {
		for j := range doc.Pools[i].Endpoints {
			e := &doc.Pools[i].Endpoints[j]
			d.endpoints[e.Address] = Place{FailureDomain: e.FailureDomain, Endpoint: e.Key()}
		}
	}
}

// setRouters adds the routers of a view. Those that have left it keep their
// places, since a cut must not end because it was noticed.
func (d *directory) setRouters(routers []view.Router) {
	if d.routers == nil {
		d.routers = make(map[netip.Addr]Place)
	}
	for i := range routers {
		r := &routers[i]
		d.routers[r.PeerAddress.Addr()] = Place{FailureDomain: r.FailureDomain, Router: r.ID}
	}
}

func (d *directory) place(address netip.AddrPort) Place {
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
