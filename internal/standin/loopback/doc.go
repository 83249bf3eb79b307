// Package loopback finds addresses for servers that must be named before they
// start.
package loopback
