// Package answer keeps the answers of non-idempotent requests, running and
// ended, so that a request that is sent again finds its first try.
//
// An Attempt is one claim's request. Whoever joins it reads the same whole
// answer from its beginning, as it comes. How an attempt ended is remembered
// for as long as its key lives; the bytes of its answer are dropped earlier,
// when they are old or need room, and then the refusal says that the request
// ran.
//
// Invariants: an attempt ends once; an attempt that was sent never ends as
// unsent; the kept bytes stay under their bound.
package answer
