// Package route defines the routing table: which host and path prefix map to
// which service, and how the requests may be handled.
//
// A Table is built once from a configuration and shared by all readers, so no
// field may be changed after New has returned it.
package route
