// Package admission implements a scheduler with which each router decides
// independently when and on which endpoint its waiting requests run.
//
// The objective of a request is the time by which its answer should begin. A
// request is started as soon as some endpoint is expected to begin the answer to a
// typical request of its class well within the objective; its own size does not
// matter. The queues of the engines therefore stay short, and no capacity is idle
// while requests wait. All other requests wait in a queue of
// the router. Requests of organisations that have received less than their
// max-min fair share of the fleet's work are served first. A request whose
// answer is not expected to begin in time is refused immediately, with the
// instant at which capacity should be available.
//
// Routers exchange Pulse messages, which state the load that the sender has
// placed on each endpoint, and the work that each organisation has requested
// and received through the sender. These messages are advisory: a late or lost
// message makes decisions less accurate but violates no invariant.
//
// A Policy starts no goroutine, reads no clock and draws random numbers only
// from the source that it was given.
package admission
