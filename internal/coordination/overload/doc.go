// Package overload decides which part of the new connections a router rejects
// because it runs late.
//
// A router that gets more requests than it has processor time for would spend
// most of that time on reading and refusing them, and run everything else late:
// streams, messages from other routers, reads of the list of endpoints. Rejecting
// a connection before its request is read costs a fraction of that. The part of
// the connections that is rejected rises while the router runs late and falls
// while it does not.
//
// Which connections are rejected follows what their organisations receive from the
// whole fleet: callers of an organisation that receives little are first, since
// they may have no other router. A part of the connections is divided evenly, since
// requests that count little work take processor time too.
//
// Requests on connections that are open have been read before anything can be rejected.
// A part of them is rejected only if their organisation receives clearly more than
// another one whose new connections are rejected.
//
// A Controller starts no goroutine and reads no clock. Its methods may be called
// concurrently.
package overload
