// Package process runs routers as separate processes, as in production, so that
// a measurement can stop or kill them.
package process
