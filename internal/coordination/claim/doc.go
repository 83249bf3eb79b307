// Package claim decides how non-idempotent requests come to run at most once.
//
// Two state machines share the work. A Claimant stands at the router that the
// caller is connected to: it asks a writer for its claim and lets the request
// run only after a verdict that this very claim won. A Writer stands at the
// router that owns a key range: it appends claims to the range's stream in
// batches, reads forward past its own append, and tells how they stand.
//
// Ownership of a range is soft. Two writers of one range cost a few appends
// more and nothing else, because the order of the log decides. Neither machine
// relies on a clock for safety: deadlines end waiting, and a claimant whose
// deadline has passed runs nothing.
//
// Both machines are pure. Their inputs must be serialised by the caller, and
// the slice that Step returns is valid until the next Step.
package claim
