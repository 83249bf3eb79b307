// Package configuration decides how one router learns which operators' text is
// in force, and how it helps the others to learn it.
//
// A few routers of each failure domain read the log; rendezvous hashing
// chooses them, so no message is needed to agree. A router that gets a higher
// revision offers it at once to a few routers of its failure domain, which
// fetch it and offer it on, as a tree: nobody serves more than a few fetches
// of the text, however many routers there are. Beside that, every router
// offers what it has to one router chosen at random each second; whoever has
// less fetches, whoever has more answers with its own offer. So an offer that
// was lost, a failure domain that is cut off from the log, and a router that
// restarts empty while the log is down are all made good.
//
// Invariants: the revision in force here never falls; a text is taken only
// from the fold of the log, or from a peer that had it in force.
//
// A Spreader is a state machine: it starts no goroutine, reads no clock, does
// no input or output and draws random numbers only from its given source.
package configuration
