// Package claim holds the claims that make a non-idempotent request run at
// most once, and the fold of the log that decides them.
//
// The first claim for a key wins, for as long as the key lives, and only the
// order of the log decides which one is first. A claim is never transferred:
// its claimant alone may run the request, so neither a paused router nor a
// second writer can cause a second run. A claimant that has surely sent
// nothing may release its claim, which frees the key.
//
// Invariants of a Fold:
//   - it applies the records of a stream in order and never skips an offset;
//   - two loaded folds that have read to the same offset agree on every
//     standing, wherever they began to read;
//   - a key with a living claim that has not been released is never free.
package claim
