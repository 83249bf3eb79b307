// Package recovery limits the requests that a fleet of routers sends to a cold endpoint:
// one that has just started and crashes at a rate well above the one that it tolerates.
//
// The permitted rate of an endpoint is divided into slots. Each slot is owned by one
// router, by rendezvous hashing over (endpoint, slot, router), and permits one request
// per interval there, so that routers need no messages to share the rate. A Limiter is
// the part of one router. It is a state machine without a clock, goroutine or network.
//
// Invariants: the slots of one endpoint permit at most half of Bounds.PerSecond, so that
// two disjoint views of the fleet together stay within it. A router owns no slot while it
// is out of contact, sees half of the fleet or less, has just started, or has been stopped
// for a while. A slot that changes its owner is unused for at least one interval. See
// docs/design/recovery.md.
package recovery
