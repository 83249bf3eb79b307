// Package configuration measures, with production routers on loopback, how long
// it takes until a published text, which holds the operators' configuration, is
// in force on all routers, and whether a router that starts with empty state
// receives the text while the log is down.
// It also checks that operators who publish concurrently receive verdicts that
// agree with the log.
package configuration
