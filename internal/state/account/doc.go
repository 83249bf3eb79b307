// Package account keeps the weighted service that organisations have received
// from a pool.
//
// An organisation's counter is the service that it has received, which is
// settled and never falls, and a reserve for each of its running requests,
// which stands for the part that is still to come. All amounts are units of
// service divided by the organisation's weight.
//
// A router measures what it gives out in a Meter, the holder of an
// organisation's account adds up the meters of all routers in a Ledger, and a
// dispatcher keeps Counters, its own view of the organisations that bid.
//
// Invariants: settled amounts never fall; reports may be lost, repeated or
// reordered; an organisation that was idle comes back at the pool's virtual
// time, so idleness saves no credit; a ledger that starts empty takes an
// account over from what the routers still remember.
package account
