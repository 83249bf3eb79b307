// Package endpoint maintains the table of endpoints: the current start of each
// endpoint, whether it is leaving or ejected, and the models that it holds.
//
// A start is one run of an endpoint. It is identified by the endpoint's VM and
// name and by the instant at which the run began; an address alone is no
// identity. Invariants:
//   - a newer start replaces an older one, never the reverse;
//   - a start that is leaving remains so until the next start;
//   - older state never replaces newer state, whichever router sent it.
//
// Two routers poll each endpoint, chosen by rendezvous hashing. A router sends
// the changes that it observes to a few random routers, which pass them on
// (gossip), so that a router that can't reach the VM list learns the changes
// from routers that can.
//
// Table is a state machine: it does no I/O, reads no clock, and takes its
// random numbers from the given source.
package endpoint
