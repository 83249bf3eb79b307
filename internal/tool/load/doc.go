// Package load sends load to routers, or directly to simulated endpoints,
// checks every answer, and reports counts and latencies.
//
// A request counts as answered only if its answer is complete and belongs to
// the request, which the content of the simulated endpoints' answers proves.
// Every other request is counted by the outcome that its last try reported. A
// request that failed is sent again through another router with the same
// idempotency key.
package load
