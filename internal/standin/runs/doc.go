// Package runs counts how often a simulated endpoint has run each request, so
// that tests can detect requests that ran more than once.
package runs
