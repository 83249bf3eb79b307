// Package rig starts a whole small installation in one process on loopback:
// the platform's stand-ins, endpoints and real routers that talk over TCP.
//
// Tests, the demonstration and the measuring commands share it. It only wires
// and injects failures; it decides nothing.
package rig
