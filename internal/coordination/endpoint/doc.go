// Package endpoint keeps the table of endpoints: which start of which endpoint
// lives, which is leaving, which failed, and which models each holds.
//
// An endpoint is its VM, its name and its start; an address is no identity.
// The newest start wins. Leaving holds for the rest of a start. What is older
// never replaces what is newer, whichever router it comes from.
//
// Two routers poll each endpoint, chosen by rendezvous hashing. What they find
// changed is told to a few routers at random, which tell others in turn, so
// that a router that can't reach the VM list learns from those that can.
//
// Table is a state machine: it reads no clock and does no input or output, and
// its random numbers come from the given source.
package endpoint
