// Package connguard bounds what clients can make a listener hold that answers at once: those
// of the directory, of readiness checks, of the operators, and of other routers.
//
// A full listener closes the connection that has made no progress for longest and accepts the
// new one, so that clients which hold connections do not keep others out. A client of HTTP
// that sends more before the answer to its request has begun gets one answer, and its
// connection is closed: these requests have no bodies, and answers that nobody reads would
// be produced for as long as their buffers have room.
package connguard
