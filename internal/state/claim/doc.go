// Package claim implements claims, which ensure that a non-idempotent request
// is executed at most once, and the fold of the log that decides them: it
// applies the records of the log in order to a state.
//
// Each such request has an idempotency key, called key below. The first claim
// for a key wins for the lifetime of the key, and only the order of the records
// in the log determines which claim is first. A claim is never transferred: only
// its claimant may run the request, so neither a router that was paused nor a
// second writer can cause a second execution. A claimant that has certainly sent
// nothing may release its claim, which frees the key.
//
// The log discards old records. Before it does so, the writer of the stream
// appends a checkpoint: a series of records that carry, that is repeat, the
// unexpired state. If the log has discarded state that no checkpoint repeats, a
// bar prevents all claims from winning until the lost claims have expired.
//
// Invariants of a Fold:
//   - It applies the records of a stream in order and never skips an offset.
//   - Two loaded folds that have read up to the same offset agree on the
//     verdict of every claim, wherever they started to read.
//   - A key with an unexpired claim that has not been released is never free.
package claim
