// Package latency measures what a router adds to a call: the same callers call
// the same stand-in directly and through a router, in turns within one run.
//
// Router, stand-in and callers share one process, so that what the router
// costs in processor time and allocations is the difference between routed and
// direct calls; it includes the second hop over loopback.
package latency
