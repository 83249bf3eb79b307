// Package baseline holds the simple policies that the fair-share scheduler is
// compared with: first in first out, random choice of endpoint, and start-time
// fair queueing. Each acts within one router, without coordination.
//
// Every router assumes a fixed number of slots at each endpoint and counts only
// its own running requests, so a fleet of n routers may send an endpoint n
// times as many requests as it has slots.
//
// Invariants: an arrival ends in one Start or one Refusal unless its caller
// departs first; a router never runs more than Slots requests at an endpoint.
package baseline
