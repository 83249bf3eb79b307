// Package platform implements clients of the platform's services: the
// append-only log, the VM list and the weight store.
//
// The interfaces of these services are not known yet, so the clients use the
// protocol of the stand-ins in internal/standin. Package hyssopreach/platform is
// unrelated: it implements the interfaces of the platform that runs hosted
// routers, which don't use these services.
//
// An append whose response was lost may have taken effect. It is never reported
// as failed, but as an UnknownOutcomeError.
package platform
