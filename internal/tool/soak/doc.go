// Package soak runs hosted routers as separate processes against stand-ins for
// the store and the endpoints, injects faults by a plan drawn from a seed, and
// checks the guarantees of the system from what callers and endpoints observe.
//
// Guarantees without a time bound are always checked. A guarantee with a time
// bound is checked only where the router, the store and the endpoints concerned
// have been free of faults for long enough.
package soak
