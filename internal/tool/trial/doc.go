// Package trial puts the load of several organisations on a rig of real
// routers and measures what the users weigh: the fairness gap, the utilisation
// and the control traffic.
package trial
