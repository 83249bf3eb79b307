// Package trial loads an installation of real routers with the requests of
// several organisations and measures the fairness gap, the utilisation and the
// control traffic.
package trial
