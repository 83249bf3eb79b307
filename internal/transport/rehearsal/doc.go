// Package rehearsal makes the failures that the operators' text asks for.
//
// A Guard stands where bytes enter and leave a router, and behaves like a
// network that is cut: dials time out, connections fall silent, and those that
// stay silent for longer than the transport's own limit break. A short cut is
// survived, as TCP survives it: what was written meanwhile arrives, and what
// has arrived is read, once the cut ends. Nothing else in a router knows
// whether a failure is rehearsed or real.
//
// Every rehearsal ends at its own Until by the local clock, whether or not a
// later text can be read.
package rehearsal
