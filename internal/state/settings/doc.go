// Package settings defines the settings file of one router process: its name,
// addresses and failure domain, the addresses of the platform's services, and
// the limits of its memory. The configuration that all routers share is the
// operators' text.
package settings
