// Package disruption injects faults into running programs from outside: a
// loopback proxy that delays, resets or blocks connections in one or both
// directions, processes that are stopped, paused, killed and restarted, and a
// plan of such faults drawn from a seed, in series and overlapping.
//
// It is independent of the programs' protocols. It ends only processes that it
// has started, by their ids.
package disruption
