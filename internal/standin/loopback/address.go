package loopback

import (
	"context"
	"errors"
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

// The range of the ports of the returned addresses, without endPort itself. It lies
// below the range from which Linux takes ports for outgoing connections and for
// listeners without a port of their own, so that neither takes the port before the
// caller listens on it.
const (
	minPort = 10_240
	endPort = 32_768
)

// maxTries bounds the ports that FreeAddress tries.
const maxTries = 64

// FreeAddress returns a loopback address with a port that is free at the time of
// the call. The IP address is random, so that no other program is likely to
// take the port before the caller listens on it.
func FreeAddress() (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{
		127, byte(minSecondOctet + rand.IntN(endSecondOctet-minSecondOctet)), byte(rand.IntN(256)), byte(1 + rand.IntN(254)),
	})
	var config net.ListenConfig
	var errs []error
	for range maxTries {
		address := netip.AddrPortFrom(ip, uint16(minPort+rand.IntN(endPort-minPort)))
		l, err := config.Listen(context.Background(), "tcp", address.String())
		if err == nil {
			_ = l.Close() // nothing was accepted
			return address, nil
		}
		errs = append(errs, err)
	}
	return netip.AddrPort{}, fmt.Errorf("find a free port at %s: %w", ip, errors.Join(errs...))
}
