package router

import (
	"errors"
	"syscall"
)

// OnDial lets a test reach each socket before it connects.
func SetDialControl(n Network, control func(address string, raw syscall.RawConn) error) {
	plain := n.(*plainNetwork)
	before := plain.dialer.Control
	plain.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		return errors.Join(before(network, address, raw), control(address, raw))
	}
}
