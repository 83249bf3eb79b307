// Package dispatch grants the slots of the endpoints that a router is
// responsible for.
//
// Each endpoint has one dispatcher, at the router that owns the endpoint's
// identity by the rendezvous hash of view.Snapshot.Owner. The dispatcher
// estimates how many requests the endpoint runs efficiently at once, holds the
// bids of all routers' queues, and grants a free slot to the organisation with
// the lowest counter, which measures the service that the organisation has
// received (see package account); within an organisation the most urgent bid
// comes first. A grant is charged at once to the dispatcher's own copy of the
// organisation's counter.
//
// Ownership is not exclusive. A dispatcher that has just taken over an endpoint
// holds its grants back for a moment, in which the routers report the requests
// that they run there. During a partition two dispatchers may grant slots of
// the same endpoint, which then runs more requests than its limit; nothing else
// depends on a dispatcher being the only one.
//
// Invariants: a dispatcher gives no grant while its outstanding grants, renewed
// grants of another dispatcher included, reach its limit; a lowered limit
// revokes no grant; a grant is freed once: by its return, at its deadline, or
// when its router is gone.
package dispatch
