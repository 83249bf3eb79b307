package router

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// dialTimeout bounds one attempt to open a connection.
const dialTimeout = 2 * time.Second

// Network opens and accepts the router's connections. It is where rehearsals
// act, so every byte passes through it.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error)
}

// plainNetwork is the host's network.
type plainNetwork struct{ dialer net.Dialer }

// NewNetwork returns the host's network. Connections leave from the given
// address, so that a peer sees the address that the settings name; the zero
// address leaves the choice to the host.
func NewNetwork(local netip.Addr) Network {
	n := &plainNetwork{dialer: net.Dialer{Timeout: dialTimeout}}
	if local.IsValid() && !local.IsUnspecified() {
		n.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return n
}

// DialContext opens a connection.
func (n *plainNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dialer.DialContext(ctx, network, address)
}

// Listen accepts connections at the address.
func (n *plainNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}
