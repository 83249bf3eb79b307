// Package vmlist simulates the platform's VM list. The list lags: readers get
// the list as it was a fixed time ago.
package vmlist
