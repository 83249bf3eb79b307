// Package share implements the fair-share scheduler. It combines three roles of
// a router into one schedule.Scheduler:
//
//   - the dispatcher of an endpoint grants the endpoint's slots to bids (see
//     package dispatch),
//   - the bidder places bids for the requests of the router's own callers (see
//     package bidding),
//   - the holder of an organisation's account in a pool adds up the service
//     that the organisation receives through all routers.
//
// The view alone determines, by rendezvous hashing, for which endpoints and
// accounts a router is responsible. Messages between roles of the same router
// are delivered within the same Step and are never sent.
package share
