// Package endpoint is the HTTP client for model engines and plain services.
//
// It reports exactly whether an attempt may have run: an Error whose Sent is
// false proves that no byte of the attempt was handed to the operating system.
// An attempt that isn't idempotent is written on one connection at most, even
// where net/http would resend it.
//
// An answer is returned only if it carries the ID of the attempt, and it ends
// without an error only if it is complete.
package endpoint
