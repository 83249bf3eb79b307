// Package latency measures the latency that a router adds to a call. The same
// callers call the same stand-in directly and through a router, in alternating
// turns within one run.
//
// The router is a separate process with a given number of processors, as on a
// small VM, so that its garbage collection and processor time are separate
// from those of the callers and the stand-in.
package latency
