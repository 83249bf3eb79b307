// Package latency measures what a router adds to a call: the same callers call
// the same stand-in directly and through a router, in turns within one run.
//
// The router is a process of its own with a given number of processors, as on
// a small VM, so that neither its garbage collection nor its processor time is
// mixed up with that of the callers and the stand-in.
package latency
