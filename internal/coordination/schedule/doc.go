// Package schedule states the contract between a router and the policy that
// decides when and where a waiting request runs.
//
// A Scheduler is a state machine: it starts no goroutine, reads no clock, does
// no input or output and draws random numbers only from the source that it was
// given, so that the same inputs always lead to the same outputs. The router
// serialises calls to Step.
//
// Every Arrival ends in exactly one Start or one Refusal, unless a Departure
// for the same request comes first.
package schedule
