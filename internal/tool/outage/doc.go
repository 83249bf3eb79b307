// Package outage measures what callers notice when routers stop or die and
// when endpoints leave.
package outage
