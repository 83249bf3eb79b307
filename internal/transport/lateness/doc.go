// Package lateness measures how late a process runs its work. A process that
// has less processor time than its load needs runs its goroutines and its timers
// late. It then learns of changes late and answers late, although all other
// components are healthy.
//
// A Meter takes the time by which a timer fires late and the time that a
// goroutine then waits behind all others. Its job is to tell such a delay from
// one that the network or another process causes.
//
// Invariants: a Meter runs at most one goroutine, and Close waits for it.
package lateness
