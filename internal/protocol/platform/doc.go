// Package platform defines the messages of the platform's services: the
// append-only log, the VM list, the weight store, and the status reports of
// model engines and plain services.
//
// The interfaces of these services are not known yet, and the messages are those
// of the stand-ins in internal/standin. Package hyssopreach/platform is
// unrelated: it implements the interfaces of the platform that runs hosted
// routers.
//
// Only the adapters in transport and the stand-ins use these types, so that a
// change of them doesn't affect the packages that make decisions.
package platform
