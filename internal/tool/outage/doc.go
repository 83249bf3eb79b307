// Package outage measures the effect on callers when a router is stopped or
// killed, and how soon a leaving endpoint gets no more requests.
package outage
