package router

import (
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"
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
