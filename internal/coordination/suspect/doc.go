// Package suspect limits the damage of requests that crash endpoints.
//
// An endpoint that fails while it runs a request is evidence against the features of
// the request: the request itself, identified by a hash of the organisation, the
// service, the method, the path and the body, and the parts of its prompt that other
// requests may share. The router that saw the failure sends the evidence to every
// router before it answers the caller. Evidence from several endpoints makes the
// routers reject requests with the feature. It is cleared when a request with it
// finishes, or when an answer to a later probe shows that the endpoint did not restart
// at the failure.
//
// A Table works in one of two modes:
//
//   - It isolates suspects. A request with evidence from one endpoint runs again
//     only at an endpoint that runs no other suspect, and only with a permit from
//     the router that owns the fingerprint, so that at most one run of the
//     request is in flight in the fleet. Evidence from a second endpoint rejects
//     it until the evidence expires: a request may crash at most two endpoints.
//     Parts of prompts are not considered.
//   - It does not. Suspects run without restrictions, since nobody could keep
//     them apart. A request with evidence from two endpoints is rejected if it is
//     the only such request at one of them, or if both failed after it had run for
//     about the same time, unless it finished a short time before; one with
//     evidence from three is rejected in any case; see conviction.go. A part with
//     evidence from three endpoints is rejected if no other part explains them as
//     well; see part.go. A rejection ends after a while, and lasts twice as long
//     each time.
//
// Requests without evidence cost one lookup and no message. A Table does no
// I/O and reads no clock. Its Step must not be called concurrently.
package suspect
