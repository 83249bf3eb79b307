package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds one attempt to open a connection.
	dialTimeout = 2 * time.Second
	// silenceTimeout is the time after which a connection that this router
	// opened is broken when the other end does not acknowledge anything.
	silenceTimeout = 5 * time.Second
	// The host asks an idle connection's other end for a sign of life after
	// aliveAfter and then every aliveInterval.
	aliveAfter    = 2 * time.Second
	aliveInterval = time.Second
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, in milliseconds.
	tcpUserTimeout = 18
)

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
	n := &plainNetwork{dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: aliveAfter, Interval: aliveInterval, Count: int(silenceTimeout / aliveInterval),
		},
		Control: breakWhenSilent,
	}}
	if local.IsValid() && !local.IsUnspecified() {
		n.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return n
}

// breakWhenSilent bounds the time for which sent bytes may go unacknowledged;
// the host's own limit is a quarter of an hour.
func breakWhenSilent(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
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
