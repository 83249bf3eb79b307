// Package lateness measures how late a process runs its work. A process that
// has less processor time than its load needs runs every goroutine and every
// timer late. It then learns of changes late and answers late, although all
// other components are healthy.
//
// A Meter sets a timer at short intervals and takes the time by which it fires
// late. Its job is to tell such a delay of the process itself from one that the
// network or another process causes.
//
// Invariants: a Meter runs at most one goroutine, and Close waits for it.
package lateness
