// Package load puts a measured load on routers or directly on stand-ins, and
// checks every answer.
//
// An answer counts only if it is whole and its caller's own, which the answers
// of the stand-ins prove. Everything else is counted by what the caller was
// told. A request that failed is sent again through other routers with the
// same idempotency key.
package load
