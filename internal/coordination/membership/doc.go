// Package membership decides which routers are live, by heartbeats and gossip.
//
// Each router sends a heartbeat every HeartbeatInterval to a few others: to
// all others in a small fleet, and otherwise to its successors on a ring
// ordered by the hash of the router names, and to one random router. The cost
// per router therefore does not grow with the fleet.
//
// The successors watch the router. A successor that receives no heartbeat for
// some time suspects the router and spreads the suspicion. Each router that
// learns of the suspicion declares the suspected router dead at its own
// deadline, unless the suspected router refutes the suspicion, or a router that
// still receives its heartbeats refutes it on its behalf. A broken link between
// two routers therefore removes neither of them.
//
// A router forwards updates to a few random routers at once and repeats them in
// its heartbeats for some time; in a large fleet, only in the heartbeats to the
// random router. A digest in each heartbeat detects updates that were lost
// nevertheless.
//
// The states of one router are ordered by its incarnation, then by its counter;
// with both equal, a suspected state is newer than one without suspicion, and a
// draining state newer than one that is not draining. An older state never
// replaces a newer one.
//
// A Table is a state machine: it starts no goroutine, does no I/O, reads no
// clock, and takes its random numbers only from the given source.
package membership
