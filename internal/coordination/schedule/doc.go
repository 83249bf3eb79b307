// Package schedule defines the interface between a router and its scheduler:
// the policy that decides when, and on which endpoint, a waiting request runs.
//
// A Scheduler is a deterministic state machine. It starts no goroutine, reads
// no clock, performs no I/O, and draws random numbers only from the source
// that it was given, so the same sequence of inputs always produces the same
// sequence of outputs. The router serialises calls to Step.
//
// Every Arrival results in exactly one Start or one Refusal, unless a
// Departure for the same request arrives first.
//
// The package also defines the messages that the schedulers of different
// routers exchange. Pulse is the message of package admission. The others
// belong to the fair-share scheduler of package share, in which a bidder places
// bids for the requests waiting at its own router, the dispatcher of an
// endpoint grants the endpoint's slots, and the holder of an account adds up
// the service that an organisation has received in a pool through all routers.
package schedule
