// Package endpoint is the HTTP client for model engines and plain services.
//
// It reports exactly whether an attempt may have run: an Error whose Sent is
// false proves that no byte of the attempt was handed to the operating system.
// An attempt that isn't idempotent is written on one connection at most, even
// where net/http would resend it.
//
// An answer is returned only if it carries the ID of the attempt, and it ends
// without an error only if it is complete. Endpoints may repeat earlier answers, so
// an attempt is not written to a connection on which one of the same ID failed, and
// the connection of an answer with another ID is closed.
package endpoint
