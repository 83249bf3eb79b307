// Package plain stands in for a plain HTTP service, such as a dispatch or a
// board application: assets, share links, and bookings, which must not run
// twice.
package plain
