// Package suspect keeps requests that crash endpoints from crashing more than
// two.
//
// When an endpoint fails under a request, that is evidence against the
// request's fingerprint: its organisation and a hash of its body. Evidence is
// spread to every router before the caller is answered. A request with
// evidence from one endpoint is a suspect: it runs again only alone, with a
// permit of the router that owns the fingerprint, so that one run of it is
// under way in the whole fleet. Evidence from a second endpoint convicts it,
// and it is refused until the evidence expires. Finishing clears a request, and
// so does any word from the endpoint that it is still the same start.
//
// Requests without evidence cost a lookup and no message. The table is pure;
// its inputs must be serialised.
package suspect
