// Package clock reads the time since the VM started, including the time during
// which the VM was suspended.
//
// Go's monotonic clock does not advance while the VM is suspended, and the wall
// clock may be set to another time. Neither is suitable for deciding how long ago
// a router's configuration was last confirmed to be the newest.
package clock
