// Package agenda orders items by the instant at which they are due, so that
// state machines can be run against each other in virtual time. Items due at
// one instant keep the order in which they were added.
package agenda
