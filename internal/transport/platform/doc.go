// Package platform holds the clients of the platform's services: the
// append-only log, the VM list and the weight store.
//
// The platform's true interfaces are not known yet; what the clients send is
// what the stand-ins take. An append whose answer was lost is never passed off
// as one that failed: its error is an UnknownOutcomeError.
package platform
