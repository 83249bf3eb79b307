// Package disruption breaks running programs from outside: a loopback proxy that
// delays, resets, silences or cuts connections one way, processes that are
// stopped, paused, killed and started again by signals, and a plan of such
// faults drawn from a seed, in series and overlapping.
//
// It knows nothing of what the programs speak. It ends only the processes that
// it has started, by their ids.
package disruption
