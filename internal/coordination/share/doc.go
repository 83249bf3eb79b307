// Package share is the fair-share scheduler: it composes the dispatchers of
// the endpoints that a router is responsible for, the router's own bidding,
// and the accounts that it holds, into one schedule.Scheduler.
//
// Three roles of a router follow from the view alone, by rendezvous hashing:
// the dispatcher of an endpoint, the holder of an organisation's account in a
// pool, and the bidder for its own callers. Messages between roles in the same
// router are delivered within the same Step and never leave it.
package share
