// Package plain simulates a plain HTTP service, such as the services dispatch
// and board of the example configurations. The service has assets, share links,
// and bookings, which must not run twice.
package plain
