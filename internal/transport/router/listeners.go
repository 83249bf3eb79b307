package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"hyssopreach/internal/state/view"
)

// listeners are the router's three ways in.
type listeners struct {
	callers, peers, operators net.Listener
}

func (l *listeners) close() error {
	var errs []error
	for _, one := range []net.Listener{l.callers, l.peers, l.operators} {
		if one != nil {
			errs = append(errs, one.Close())
		}
	}
	return errors.Join(errs...)
}

// listen opens the listeners and fills in the addresses that others are told.
func (r *Router) listen(ctx context.Context) (*listeners, error) {
	s := r.options.Settings
	l := &listeners{}
	for _, one := range []struct {
		name    string
		address netip.AddrPort
		opened  *net.Listener
		at      *netip.AddrPort
	}{
		{"callers", s.CallerAddress, &l.callers, &r.callerAt},
		{"peers", s.PeerAddress, &l.peers, &r.self.PeerAddress},
		{"operators", s.OperatorAddress, &l.operators, &r.operatorAt},
	} {
		opened, err := r.options.Network.Listen(ctx, one.address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("start router %s: for %s: %w", s.Name, one.name, err), l.close())
		}
		*one.opened = opened
		at, err := netip.ParseAddrPort(opened.Addr().String())
		if err != nil {
			return nil, errors.Join(fmt.Errorf("start router %s: for %s: %w", s.Name, one.name, err), l.close())
		}
		*one.at = at
	}
	r.self = view.Router{
		ID: s.Name, FailureDomain: s.FailureDomain, PeerAddress: r.self.PeerAddress,
		CallerAddress: r.callerAt, Incarnation: r.options.Incarnation,
	}
	return l, nil
}
