// Package bidding is the router's side of scheduling: it keeps the requests of
// the callers that are connected here, bids for slots at the dispatchers of
// endpoints, and binds a request to an endpoint only when a slot is granted.
//
// A bid stands for a whole line, which is one organisation's requests for one
// model, and stays in place while the line has work, so that a backlogged
// organisation costs one grant and one return a request and no further bids.
// A line begins with bids at a few endpoints. It widens them while it is
// behind the organisations that are being served, and it bids at once where a
// dispatcher announces room. A grant that finds nothing to run is returned at
// once.
//
// What is charged for running requests is measured in account.Meter and
// reported to the account's holder by quantum of service.
//
// Invariants: every request ends in one Start or one Refusal unless its caller
// departs first; the number and bytes of waiting requests are bounded, in all
// and for each organisation; when the router as a whole is full, the
// organisation that holds most bytes loses its least urgent, newest request.
package bidding
