// Package loopback finds free loopback addresses for servers whose addresses
// must be configured before they start.
package loopback
