// Package demo demonstrates the whole request path in one process: three
// routers, engines, a plain service and sixteen organisations on loopback.
package demo
