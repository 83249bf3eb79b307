// Package membership runs the membership tables of a simulated fleet in virtual
// time and counts the traffic that they would send. It measures traffic and
// behaviour under faults for fleets that are too large to run as processes on
// one machine.
package membership
