// Package bidding is the router's side of scheduling. It queues the requests
// of the callers that are connected to this router, bids for slots at the
// dispatchers of endpoints, and assigns a request to an endpoint only when a
// dispatcher grants a slot.
//
// Slots go to the organisation with the lowest counter: the service that it has
// received from the pool, plus a reserve for each of its running requests, per
// unit of its weight (see package account). An organisation is behind another
// if its counter is lower.
//
// A bid stands for a whole queue, which holds one organisation's requests for
// one model. It stays in place while the queue has requests, so that for a
// backlogged organisation each request costs one grant and one return but no
// further bid. A queue first bids at a few endpoints. It bids at more while
// its organisation is behind the organisations that are being served, and it
// bids at once where a dispatcher announces free slots. A grant for which
// there is no request is returned at once.
//
// The service that running requests receive is measured in account.Meter and
// reported to the account holder: the router that adds up the organisation's
// service through all routers. A report is due once a second while requests
// wait or the holder has not acknowledged the total. While other routers have
// work of the organisation too, it is due each time that the organisation has
// received a fixed fraction of the cost of a request, within bounds.
//
// Invariants: every request ends in one Start or one Refusal unless its caller
// departs first; the number and bytes of waiting requests are bounded, in total
// and for each organisation; when the router as a whole is full, the
// organisation that holds most bytes loses its least urgent, newest request.
package bidding
