// Package vmlist stands in for the platform's VM list, which lags: it serves
// the list as it was a fixed time ago.
package vmlist
