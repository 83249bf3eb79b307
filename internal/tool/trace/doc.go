// Package trace collects the log lines of several routers that name one request,
// organisation, endpoint or router, and sorts them by time.
//
// A line is one logfmt record. Text before its timestamp, which some log
// collectors add, becomes part of the line's source. Lines that cannot be parsed
// are counted and skipped, since a log may be truncated anywhere.
package trace
