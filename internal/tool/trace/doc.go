// Package trace gathers what several routers' logs say of one request,
// organisation or endpoint, and puts it in order.
//
// A line is one logfmt record; what stands before its timestamp, as some
// collectors write it, is kept as the line's source. Lines that cannot be read
// are counted, not fatal, since a log may be cut anywhere.
package trace
