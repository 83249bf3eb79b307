// Package router assembles one router process: it opens the listeners, connects
// the state machines of the coordination packages with the network and the
// platform, and stops the components in order.
//
// A router comes in two forms. Router, started by Start, takes its configuration
// from the operators' text, the JSON document that package text defines, which
// it reads from the platform's log, and its endpoints from the VM list. Hosted,
// started by StartHosted, takes both from the store of a platform, whose adapter
// also supplies the protocols for callers and endpoints.
//
// Invariants:
//   - The fleet type owns the router's state of routers, endpoints and
//     configuration. All other code reads immutable snapshots of it. In a Hosted
//     router, the sources type decides which configuration and endpoints are in
//     force and sets them in the fleet, and Core holds the table of routes, which
//     is immutable as well.
//   - Fleet callbacks run while the fleet is locked and must not change it.
//   - State machines run in a driver. Applying an output must not block, so
//     network calls run in goroutines of their own.
//   - Components are closed in the reverse order of their start.
package router
