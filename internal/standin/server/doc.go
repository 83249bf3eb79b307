// Package server runs the HTTP server of a stand-in.
//
// Close and Shutdown return only when no handler runs any more. Crash ends
// every connection at once, as the death of a process does, and does not wait.
package server
