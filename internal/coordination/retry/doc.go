// Package retry keeps the retries of the fleet within a budget.
//
// Over any window, all routers together may send a service a number of retries
// in proportion to the requests for it, plus a fixed number. Each router uses
// the proportion of its own requests and an even part of the fixed number, so
// the routers need not communicate.
package retry
