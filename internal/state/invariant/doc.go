// Package invariant counts and logs conditions that must hold in a running
// router and were found broken.
//
// Checks are cheap enough to stay on in production. A broken invariant never
// ends the process: each break adds one to the counter "Invariant.<Name>" and
// to "Invariant.Broken", and writes one log line at error level. The package
// is the one place below transport that logs, because a broken invariant has
// to be seen even where its discoverer has nobody to report it to.
package invariant
