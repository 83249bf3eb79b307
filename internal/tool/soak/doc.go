// Package soak runs hosted routers, which take their settings from a platform,
// as separate processes against stand-ins for the platform's store and the
// endpoints. It injects faults by a plan drawn from a seed, and checks the
// guarantees of the system from what callers and endpoints observe.
//
// These guarantees are always checked: a non-idempotent request runs at most
// once, a request doesn't run after a refusal that rules out a run, endpoints
// run only requests that a caller sent, every answer is that of its request, a
// removed key is rejected after a bounded time, and retries stay within their
// budget.
//
// Other guarantees are checked only where the router, the store and the
// endpoints concerned have been free of faults for long enough: a new key is
// accepted and a leaving endpoint gets no more requests after a bounded time, a
// planned stop of a router cuts no connection, and no router exits by itself.
// After the last fault, requests are served again.
package soak
