package loopback

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestSystemDoesNotTakeFreePort guards against a server that can't listen on its address
// since the system has taken the port for an outgoing connection meanwhile.
func TestSystemDoesNotTakeFreePort(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	is.NoErr(err)
	var first, last int
	_, err = fmt.Sscan(string(data), &first, &last)
	is.NoErr(err)
	for range 100 {
		address, err := FreeAddress()
		is.NoErr(err)
		is.True(int(address.Port()) < first)
	}

	// A port of that range that a connection has taken can't be listened on.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	taken := conn.LocalAddr().(*net.TCPAddr)
	is.True(taken.Port >= first && taken.Port <= last)
	_, err = net.Listen("tcp", taken.String())
	is.True(err != nil)
}
