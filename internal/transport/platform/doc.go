// Package platform implements clients of the platform's services: the
// append-only log, the VM list and the weight store.
//
// The interfaces of the real platform are not known yet, so the clients speak
// the protocol of the stand-ins. An append whose response was lost may have
// taken effect. It is never reported as failed, but as an UnknownOutcomeError.
package platform
