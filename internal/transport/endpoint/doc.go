// Package endpoint is the client of model engines and plain services.
//
// It tells exactly whether an attempt may have run: an Error whose Sent is
// false proves that no byte of the attempt was handed to the operating system.
// An attempt that isn't idempotent is written on one connection at most,
// whatever net/http would resend.
//
// An answer is passed on only if it names the attempt that it answers, and it
// ends without an error only if it is whole.
package endpoint
