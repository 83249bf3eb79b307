// Package clock tells the time since the VM started, the time in which it was
// suspended included.
//
// Go's own monotonic clock stands still while a VM is suspended, and its time
// of day may be set. Neither may decide whether a confirmation is still fresh.
package clock
