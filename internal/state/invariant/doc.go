// Package invariant checks conditions that must hold in a running router, and
// counts and logs their violations.
//
// The checks are cheap enough to be enabled in production. A violation never
// ends the process: it increments the counters "Invariant.<Name>" and
// "Invariant.Broken" and writes one log line at error level. This is the only
// package below transport that logs, because a violation must be visible even
// where the code that detects it has no caller to report it to.
package invariant
