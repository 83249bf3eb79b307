// Package harness drives schedulers against one another on one load: it passes
// their messages through queues with a delay and stands in for endpoints, all
// on a clock of its own, so that a scene of many minutes runs in seconds and
// gives the same figures for the same seed.
//
// It measures what the schedulers promise: the fairness gap, the time that
// slots stand idle while work waits, and the control messages.
package harness
