// Package lease holds the leases that planners of placement take in the
// platform's log, and the fold that decides them.
//
// A record is granted if its pool's lease is free at the log's own clock or
// belongs to the same holder. The offset of the record last granted is the
// fencing number of its holder's orders, so that a newer holder always has a
// higher number. A reader that starts after the log has forgotten records
// takes every lease for held until it has seen a gap.
package lease
