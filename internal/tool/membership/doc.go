// Package membership runs many membership tables against each other in virtual
// time and counts what they would send, so that their traffic and their
// behaviour under faults can be measured at sizes that one machine cannot run
// as processes.
package membership
