package router

import (
	"errors"
	"syscall"
)

// SetDialControl registers a function that is called with each socket before it
// connects.
func SetDialControl(n Network, control func(address string, raw syscall.RawConn) error) {
	host := n.(*hostNetwork)
	previous := host.dialer.Control
	host.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		return errors.Join(previous(network, address, raw), control(address, raw))
	}
}
