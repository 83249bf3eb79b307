// Package platform defines the messages of the platform's services: the
// append-only log, the VM list, the weight store, and the status reports of
// model engines and plain services.
//
// The interfaces of the real platform are not known yet. Only the adapters in
// transport and the stand-ins use these types, so that a change of them doesn't
// affect the packages that make decisions.
package platform
