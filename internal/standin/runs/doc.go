// Package runs counts how often an endpoint stand-in has run each request, so
// that a test can see a request that ran twice.
package runs
