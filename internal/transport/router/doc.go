// Package router composes one router: it opens the listeners, connects the
// state machines with the network and the platform, and stops them in order.
//
// The fleet type owns the one mutable picture of routers, endpoints and text;
// everyone else reads immutable snapshots of it.
package router
