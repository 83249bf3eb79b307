// Package connlimit limits how fast callers' connections are accepted, and how
// many are open: no faster than their requests can be read, and no more than
// there are file descriptors for.
//
// If a router under a flood accepted all connections at once, thousands of
// goroutines would be runnable ahead of those that read the configuration or
// answer other routers. Therefore only a limited number of connections may be
// new at a time. A connection is new until its first request has been read, it
// is closed, or a short timeout has passed. Further connections wait in the
// accept queue of the operating system.
//
// When the limit on open connections is reached, the connections that have been
// idle longest are closed to admit new ones; if none is idle, those whose requests
// have been arriving for longest, so that callers which stop halfway do not keep
// others out. While the router is overloaded, a
// part of the new connections is answered and closed before their requests are read.
// What the callers have sent by then is looked at, to decide whom to reject. A
// connection on which nothing has arrived yet gets its answer once a request begins.
package connlimit
