// Package view holds the snapshot of the fleet on which decisions are taken:
// which routers live, which endpoints take work, which organisations share.
//
// A Snapshot is immutable. Its owner builds a new one for every change and
// hands out the pointer, so readers need no lock.
package view
