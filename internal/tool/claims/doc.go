// Package claims measures that non-idempotent requests run at most once.
//
// It drives the real claimants, writers and folds in virtual time against a
// small fake of the log, with faults at every boundary: answers of the log
// lost, appends that land late, the log slow or down, routers paused or
// restarted with empty state, messages lost, delayed or doubled, and callers
// that send their request again through other routers. It counts the runs at
// the fake endpoint and checks every refusal against them.
package claims
