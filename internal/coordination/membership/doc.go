// Package membership decides which routers are live.
//
// Each router sends a heartbeat every HeartbeatInterval to a few others: to
// everyone in a small fleet, and otherwise to its successors on a ring ordered
// by the hash of the names, and to one router chosen at random. So the cost
// per router does not grow with the fleet. Successors watch: one that hears
// nothing for a while suspects the router and spreads the suspicion. A
// suspected router is dead when its deadline passes at each receiver, unless
// it refutes the suspicion, or a router that still hears its heartbeats
// vouches for it; so a cut between two routers removes neither. News goes on
// to a few routers at once, is repeated in heartbeats for a while, and a
// digest in each heartbeat finds what was lost on the way.
//
// News about one router is ordered by its incarnation, then by its counter,
// then suspicion before life; lower news never replaces higher.
//
// A Table is a state machine: it starts no goroutine, reads no clock, does no
// input or output and draws random numbers only from its given source.
package membership
