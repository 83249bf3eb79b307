// Package configuration measures, with real routers on loopback, how soon a
// published text is in force everywhere, whether a router that starts empty
// learns it while the log is down, and whether operators who race are all told
// the truth.
package configuration
