// Package baseline holds the simple policies that the fair-share scheduler is
// measured against: first in first out, random choice of endpoint, and
// start-time fair queueing, each within one router and without coordination.
//
// Every router assumes a fixed number of slots at each endpoint and counts
// only its own running requests, so the fleet as a whole may send an endpoint
// as many times its slots as there are routers.
//
// Invariants: an arrival ends in one Start or one Refusal unless its caller
// departs first; a router never runs more than Slots requests at an endpoint.
package baseline
