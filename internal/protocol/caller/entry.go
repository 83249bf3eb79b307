package caller

import (
	"net/netip"
	"time"
)

// EntryAnswer lists the addresses of the system that a caller can use.
type EntryAnswer struct {
	// Routers holds the addresses in the order in which to try them.
	Routers []netip.AddrPort
	// HoldsUntil is the instant until which the answer may be used.
	HoldsUntil time.Time
}
