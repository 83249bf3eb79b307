// Package view defines the snapshot of the fleet on which scheduling decisions
// are based: the live routers, the known endpoints, and the organisations that
// share capacity.
//
// A Snapshot is immutable. Its owner builds a new one for every change and
// publishes the pointer, so readers need no lock.
package view
