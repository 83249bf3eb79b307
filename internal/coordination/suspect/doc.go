// Package suspect limits the damage of requests that crash endpoints: a
// request may crash at most two endpoints before the fleet rejects it.
//
// An endpoint that fails while it runs a request is evidence against the
// request's fingerprint, a hash of the organisation, the service, the method,
// the path and the body of the request. The router that saw the failure sends
// the evidence to every router before it answers the caller. A request with
// evidence from one endpoint is a suspect: it runs again only at an endpoint
// that runs no other suspect, and only with a permit from the router that owns
// the fingerprint, so that at most one run of the request is in flight in the
// fleet. Evidence from a second endpoint makes the routers reject the request
// until the evidence expires. Evidence is cleared when the request finishes, or
// when an answer to a later probe shows that the endpoint did not restart at the
// failure.
//
// Requests without evidence cost one lookup and no message. A Table does no
// I/O and reads no clock. Its Step must not be called concurrently.
package suspect
