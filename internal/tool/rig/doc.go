// Package rig runs a complete small installation in one process on loopback:
// stand-ins for the platform's services, stand-in endpoints, and real routers
// that communicate over TCP.
//
// Tests, the demonstration and the measurement tools share it. The package
// wires the parts together and injects failures; it makes no decisions about
// requests.
package rig
