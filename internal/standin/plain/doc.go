// Package plain simulates a plain HTTP service, such as a dispatch or a board
// application. The service has assets, share links, and bookings, which must
// not run twice.
package plain
