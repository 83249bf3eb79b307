// Package server runs the HTTP server of a stand-in.
//
// Close and Shutdown return only after every handler has returned. Crash closes
// every connection at once, as the end of a process does, and does not wait for
// the handlers.
package server
