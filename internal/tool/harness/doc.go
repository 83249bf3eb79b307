// Package harness simulates a fleet of routers with production schedulers, in
// order to compare scheduling policies under the same load. It delivers the
// schedulers' messages with a delay and simulates the endpoints and the
// callers, all in virtual time. A scenario of many minutes therefore runs in
// seconds, and gives the same figures for the same seed.
//
// It measures what the schedulers guarantee: the fairness gap between
// organisations, the time that slots are idle while requests wait, and the
// control traffic.
package harness
