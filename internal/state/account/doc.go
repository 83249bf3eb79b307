// Package account keeps the weighted service that organisations have received
// from a pool.
//
// A router measures what it gives out in a Meter, the holder of an
// organisation's account adds up the meters of all routers in a Ledger, and a
// dispatcher keeps Counters, its own view of the organisations that bid.
//
// All amounts are counters: units of service divided by the organisation's
// weight. Invariants: a meter's total and a ledger's counters never fall;
// reports may be lost, repeated or reordered; an organisation that was idle
// comes back at the pool's virtual time, so idleness saves no credit; a ledger
// that starts empty takes an account over from the tags that the routers still
// remember.
package account
