// Package soak runs hosted routers as processes of their own before stand-ins
// of the store and of endpoints, breaks them by a plan drawn from a seed, and
// checks the promises from what callers and endpoints see.
//
// Promises without a time bound are checked always. Those with one are checked
// where the router, the store and the endpoints concerned have been left alone
// for long enough.
package soak
