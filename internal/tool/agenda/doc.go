// Package agenda provides a queue of items ordered by the time at which they
// are due, for the simulation of state machines in virtual time. Items due at
// the same time keep the order in which they were added.
package agenda
