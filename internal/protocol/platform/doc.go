// Package platform holds the typed messages of the platform's services: the
// append-only log, the VM list, the weight store, and what the model engines
// and plain services say of themselves.
//
// The interfaces of the real platform are not known yet. Only the adapters in
// transport and the stand-ins use these types, so a change here touches
// nothing that decides.
package platform
