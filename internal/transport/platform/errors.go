package platform

import (
	"fmt"
	"net/netip"
)

// Error says at which step and service a request failed without an effect.
type Error struct {
	Step    string
	Address netip.AddrPort
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("%s at %v: %v", e.Step, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// UnavailableError says that a service did not do what it was asked and is
// to be asked again later.
type UnavailableError struct {
	Step    string
	Address netip.AddrPort
	Err     error
}

// Error describes the failure.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s at %v: unavailable: %v", e.Step, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError says that an append may have landed, or may still land.
type UnknownOutcomeError struct {
	Step    string
	Address netip.AddrPort
	Err     error
}

// Error describes the failure.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s at %v: the outcome is unknown: %v", e.Step, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// GoneError says that the log has forgotten the wanted offset.
type GoneError struct {
	Stream  string
	Address netip.AddrPort
	// Wanted is the offset that was asked for.
	Wanted uint64
	// Oldest is the lowest offset still kept.
	Oldest uint64
}

// Error describes the hole.
func (e *GoneError) Error() string {
	return fmt.Sprintf("read stream %s at %v: offset %d is gone, the oldest kept is %d",
		e.Stream, e.Address, e.Wanted, e.Oldest)
}
