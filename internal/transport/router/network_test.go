package router

import (
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/transport/endpoint"
)

// TestAcceptedConnectionsAreProbed guards against accepted connections that stay
// open after the other end has vanished.
func TestAcceptedConnectionsAreProbed(t *testing.T) {
	is := is.New(t)
	n := NewNetwork(netip.Addr{})
	l, err := n.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer l.Close()
	opened, err := n.DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer opened.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	raw, err := accepted.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	var enabled, idle, interval int
	is.NoErr(raw.Control(func(fd uintptr) {
		enabled, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		idle, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
		interval, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
	}))
	is.Equal(enabled, 1)
	is.Equal(idle, int(acceptedKeepAlive.Seconds()))
	is.Equal(interval, int(acceptedKeepAlive.Seconds()))
}

// TestHostEndsNoSilentAnswer guards against an answer that the host breaks off because
// its endpoint was out of reach for seconds, although its caller still waits.
func TestHostEndsNoSilentAnswer(t *testing.T) {
	is := is.New(t)
	n := NewNetwork(netip.Addr{})
	l, err := n.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer l.Close()
	for _, test := range []struct {
		dial      endpoint.Dial
		keepAlive int
		timeout   time.Duration
	}{
		{n.DialContext, 1, silenceTimeout},
		{WithoutSilenceTimeout(n.DialContext), 0, 0},
	} {
		opened, err := test.dial(t.Context(), "tcp", l.Addr().String())
		is.NoErr(err)
		defer opened.Close()
		raw, err := opened.(syscall.Conn).SyscallConn()
		is.NoErr(err)
		var keepAlive, timeout int
		is.NoErr(raw.Control(func(fd uintptr) {
			keepAlive, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
			timeout, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		}))
		is.Equal(keepAlive, test.keepAlive)
		is.Equal(timeout, int(test.timeout.Milliseconds()))
	}
}
