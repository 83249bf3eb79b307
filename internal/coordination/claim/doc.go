// Package claim implements the protocol that runs non-idempotent requests at
// most once.
//
// Each such request has a key. The digests of the keys are divided into key
// ranges, and each range has its own log stream.
//
// The protocol consists of two state machines. A Claimant runs at the router to
// which the caller is connected. It sends a claim to a writer and lets the
// request run only after a verdict that this claim won. A Writer runs at the
// router that owns a key range. It appends claims to the log stream of the range
// in batches, reads the stream until it has read its own append back, and
// answers each claim with a verdict.
//
// Ownership of a range is not exclusive. Two writers of one range cost a few
// additional appends and nothing else, because the order of records in the log
// decides which claim wins. Neither machine relies on a clock for safety: a
// deadline only ends the wait for a verdict, and a claimant whose deadline has
// passed does not run the request.
//
// In the comments of this package, a claim request is a message from a Claimant
// to a Writer, whose type is Request, and a request is the HTTP request of a
// caller.
//
// Neither machine does I/O or reads a clock. The Step of a machine must not be
// called concurrently, and the slice that it returns is valid until the next
// Step.
package claim
