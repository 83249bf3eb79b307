// Package entry answers callers over HTTP: it tells them which routers to use,
// admits their requests and writes answers and refusals.
//
// A request is admitted only when its organisation, service and class are
// known, its body is within bounds, and every service that it depends on has
// an endpoint that takes work.
package entry
