// Package intake accepts callers' connections no faster than their requests
// can be read, and no more than there are descriptors for.
//
// A router under a flood that accepted all connections at once would have
// thousands of goroutines to run before those that read the configuration or
// answer its peers. So only some connections may be new at a time: one is new
// until its first request has been read, it is closed, or its caller has been
// slow. The rest wait with the host.
//
// When as many connections are open as may be, those that have been idle
// longest are closed for new ones.
package intake
