// Package process runs routers as processes of their own, as they run in
// earnest, so that a measurement can stop or kill them.
package process
