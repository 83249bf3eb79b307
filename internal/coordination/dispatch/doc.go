// Package dispatch gives out the slots of the endpoints that a router is
// responsible for.
//
// Each endpoint has one dispatcher, at the router that owns the endpoint's
// identity in the view. The dispatcher learns how many requests the endpoint
// runs well at once, keeps the bids of the lines that wait at any router, and
// gives a free slot to the organisation with the least counter; within an
// organisation the most urgent line goes first. It charges a grant to its own
// view of the organisation at once.
//
// Ownership is soft. A dispatcher that has just taken an endpoint over waits
// for a moment, in which the routers tell it what they run there. During a
// partition two dispatchers may give out the same endpoint and over-admit;
// nothing else depends on there being one.
//
// Invariants: a dispatcher never has more grants out than its limit says,
// renewals of another dispatcher's grants aside; a grant is freed once, by its
// return, by its deadline, or with its router.
package dispatch
