// Package server runs the HTTP server of a stand-in, which simulates a service
// of the platform or an endpoint.
//
// Close and Shutdown return only after every handler has returned. Crash closes
// every connection at once, as the end of a process does, and does not wait for
// the handlers.
package server
