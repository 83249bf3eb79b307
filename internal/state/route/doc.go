// Package route holds the table of routes: which host and path leads to which
// pool of endpoints, and how its requests may be handled.
//
// A Table is a value. It is built once from a configuration and shared by all
// readers, so no field may be changed after New has returned it.
package route
