// Package configuration distributes the operators' configuration text in force
// among the routers.
//
// A few routers of each failure domain read the log. They are chosen by
// rendezvous hashing, so that the routers agree on them without messages. A
// router that gets a higher revision offers it at once to a few routers of its
// failure domain, which fetch it and offer it in turn. The offers form a tree,
// so that no router serves more than a few fetches of the text, however large
// the fleet is.
//
// In addition, every router offers its revision to one random router each
// second. A router with a lower revision fetches the offered one; a router with
// a higher revision answers with an offer of its own. This repairs lost offers,
// and supplies failure domains that are cut off from the log and routers that
// restart without a text while the log is down.
//
// Invariants:
//   - the revision in force at a router never falls;
//   - a router accepts a text only from the fold of the log, or from a peer at
//     which the text was in force.
//
// A Distributor is a state machine: it starts no goroutine, does no I/O, reads no
// clock, and takes its random numbers only from the given source.
package configuration
