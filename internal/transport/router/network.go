package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"hyssopreach/internal/transport/endpoint"
)

const (
	// dialTimeout bounds one attempt to open a connection.
	dialTimeout = 2 * time.Second
	// silenceTimeout is the time without an acknowledgement from the other end
	// after which a connection that this router opened is broken off; see
	// WithoutSilenceTimeout for those to endpoints of a hosted router.
	silenceTimeout = 5 * time.Second
	// keepAliveIdle is the time after which the host sends a TCP keep-alive
	// probe on an idle connection, and keepAliveInterval is the time between
	// further probes.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	// acceptedKeepAlive is the same two times for accepted connections.
	acceptedKeepAlive = 15 * time.Second
	// tcpUserTimeout is the number of Linux's socket option TCP_USER_TIMEOUT,
	// whose value is in milliseconds.
	tcpUserTimeout = 18
)

// Network opens and accepts the router's connections. All traffic of the router
// passes through it, because package rehearsal wraps it to simulate the network
// failures that the operators' text schedules.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error)
}

// hostNetwork is the network of the host.
type hostNetwork struct{ dialer net.Dialer }

// NewNetwork returns the network of the host. Outgoing connections use the given
// local address, so that a peer sees the address that the settings name; the
// zero address leaves the choice to the host.
func NewNetwork(local netip.Addr) Network {
	n := &hostNetwork{dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int(silenceTimeout / keepAliveInterval),
		},
		Control: setUserTimeout,
	}}
	if local.IsValid() && !local.IsUnspecified() {
		n.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return n
}

// setUserTimeout limits the time for which sent bytes may remain unacknowledged
// to silenceTimeout; the default of the host is a quarter of an hour.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// WithoutSilenceTimeout wraps a dial function so that the host does not break off its
// connections, however long the other end acknowledges nothing. It is for requests:
// the runner decides how long it waits for an endpoint, at most until the deadline.
func WithoutSilenceTimeout(dial endpoint.Dial) endpoint.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// Connections of a simulated network have no socket.
		if c, ok := conn.(syscall.Conn); ok {
			if err := clearSilenceTimeout(c); err != nil {
				return nil, errors.Join(fmt.Errorf("set the options of the connection to %s: %w", address, err), conn.Close())
			}
		}
		return conn, nil
	}
}

func clearSilenceTimeout(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 0),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, 0),
		)
	})
	return errors.Join(err, sockErr)
}

// setKeepAlive sets the keep-alive options on the socket of a listener. Accepted
// connections inherit them, which saves the system calls to set them on each.
func setKeepAlive(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		seconds := int(acceptedKeepAlive.Seconds())
		sockErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, seconds),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, seconds),
		)
	})
	return errors.Join(err, sockErr)
}

// DialContext opens a connection.
func (n *hostNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dialer.DialContext(ctx, network, address)
}

// Listen accepts connections at the address.
func (n *hostNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setKeepAlive}
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}
