package loopback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// The range of the second octet of the returned addresses, without
// endSecondOctet itself. It excludes 127.0.0.1, where other programs listen.
const (
	minSecondOctet = 64
	endSecondOctet = 191
)

// FreeAddress returns a loopback address with a port that is free at the time of
// the call. The IP address is random, so that no other program is likely to
// take the port before the caller listens on it.
func FreeAddress() (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{
		127, byte(minSecondOctet + rand.IntN(endSecondOctet-minSecondOctet)), byte(rand.IntN(256)), byte(1 + rand.IntN(254)),
	})
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("find a free port at %s: %w", ip, err)
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}
