// Package weights stands in for the platform's weight store, which hands out
// its bytes at a limited rate, first come first served.
package weights
