// Package answer retains the responses to non-idempotent requests, both in
// progress and complete, so that a resent request gets the result of its first
// execution instead of running again.
//
// An Attempt is this router's handling of the requests with one idempotency key.
// Its claim (see package state/claim) must win before the router executes the
// request. If another claim holds the key, the attempt receives a copy of the
// response to that claim's request instead. Every reader of an attempt receives
// the same complete response from its first byte, streamed as it arrives.
//
// How an attempt ended is recorded for the lifetime of its key. The body of its
// response is evicted earlier, when it is old or when space is needed; a later
// resend is then refused with the statement that the request ran.
//
// Invariants:
//   - An attempt ends once.
//   - An attempt whose request is marked as sent never ends as unsent.
//   - The retained bodies never exceed the configured number of bytes.
package answer
