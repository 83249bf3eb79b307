// Package entry is the HTTP interface for callers: it lists the routers that
// they may use, admits their requests, and writes answers and refusals.
//
// A request is admitted only if its organisation, service and class are known,
// its body is within the size limits, and its service and all services on which
// its service depends have an endpoint that accepts work.
package entry
