// Package lease defines the leases of placement planners and the fold of the
// log that decides them: it applies the records of the log in order to a state.
// The holder of a pool's lease is the only planner that gives placement orders
// for the pool.
//
// A record is granted if its pool's lease is free at the time of the log's
// clock or belongs to the same holder. The offset of the record last granted is
// the fencing number of its holder's orders, so a newer holder always has a
// higher number. A reader that starts after the log has discarded records
// assumes that every lease is held by an unknown holder, until no record of the
// pool has been appended for the duration of a lease.
package lease
