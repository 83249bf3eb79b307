// Package answer stores the responses to non-idempotent requests, both in
// progress and complete, so that a resent request gets the result of its first
// execution instead of running again.
//
// An Attempt is the execution of one claimed request. Every reader of an
// attempt receives the same complete response from its first byte, streamed as
// it arrives. How an attempt ended is recorded for the lifetime of its key. The
// body of its response is evicted earlier, when it is old or when space is
// needed; a later resend is then refused with the statement that the request
// ran.
//
// Invariants:
//   - An attempt ends once.
//   - An attempt that was sent never ends as unsent.
//   - The stored bodies never exceed the configured number of bytes.
package answer
