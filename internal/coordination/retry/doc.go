// Package retry keeps the fleet's repeats within a budget.
//
// Over any window, all routers together may send a service a number of repeats
// in proportion to the requests for it, and a fixed number more. Each router
// takes the proportion of its own requests and an even part of the fixed
// number, so that no word between routers is needed.
package retry
