package platform

import (
	"fmt"
	"net/netip"
)

// Error reports that a request failed and had no effect, with its step and the
// address of the service.
type Error struct {
	Step    string
	Address netip.AddrPort
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("%s at %v: %v", e.Step, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// UnavailableError reports that a request failed and may be retried later. An
// append that fails with this error had no effect.
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

// UnknownOutcomeError reports that an append may have taken effect, or may still
// take effect later.
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

// OffsetTrimmedError reports that the log no longer retains the requested offset.
type OffsetTrimmedError struct {
	Stream  string
	Address netip.AddrPort
	// Wanted is the requested offset.
	Wanted uint64
	// Oldest is the lowest offset that the log retains.
	Oldest uint64
}

// Error describes the gap.
func (e *OffsetTrimmedError) Error() string {
	return fmt.Sprintf("read stream %s at %v: offset %d is no longer retained, the oldest is %d",
		e.Stream, e.Address, e.Wanted, e.Oldest)
}
