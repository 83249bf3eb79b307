package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"hyssopreach/internal/state/view"
)

// listeners holds the router's three listeners.
type listeners struct {
	callers, peers, operators net.Listener
}

func (l *listeners) close() error {
	var errs []error
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			errs = append(errs, listener.Close())
		}
	}
	return errors.Join(errs...)
}

// listen opens the listeners and sets the router's addresses from them, since
// the settings may leave the choice of a port to the host.
func (r *Router) listen(ctx context.Context) (*listeners, error) {
	s := r.options.Settings
	l := &listeners{}
	for _, spec := range []struct {
		name    string
		address netip.AddrPort
		opened  *net.Listener
		at      *netip.AddrPort
	}{
		{"callers", s.CallerAddress, &l.callers, &r.callerAddress},
		{"peers", s.PeerAddress, &l.peers, &r.self.PeerAddress},
		{"operators", s.OperatorAddress, &l.operators, &r.operatorAddress},
	} {
		opened, err := r.options.Network.Listen(ctx, spec.address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("start router %s: for %s: %w", s.Name, spec.name, err), l.close())
		}
		*spec.opened = opened
		at, err := netip.ParseAddrPort(opened.Addr().String())
		if err != nil {
			return nil, errors.Join(fmt.Errorf("start router %s: for %s: %w", s.Name, spec.name, err), l.close())
		}
		*spec.at = at
	}
	r.self = view.Router{
		ID: s.Name, FailureDomain: s.FailureDomain, PeerAddress: r.self.PeerAddress,
		CallerAddress: r.callerAddress, Incarnation: r.options.Incarnation,
	}
	return l, nil
}
