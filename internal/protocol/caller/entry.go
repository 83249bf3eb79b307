package caller

import (
	"net/netip"
	"time"
)

// EntryAnswer tells a caller which addresses of the system to use.
type EntryAnswer struct {
	// Routers are the addresses, in the order in which to try them.
	Routers []netip.AddrPort
	// HoldsUntil is the instant until which the answer may be used.
	HoldsUntil time.Time
}
