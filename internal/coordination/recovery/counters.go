package recovery

import "sync/atomic"

// Counters are the figures of a router that its operators see. They are written by one
// goroutine and may be read by any.
type Counters struct {
	// Granted counts the permits that were used, without those that were returned.
	Granted atomic.Int64
	// Refused counts the requests that were refused because the only endpoints left were
	// cold and had no permit.
	Refused atomic.Int64
	// Cold is the number of cold endpoints.
	Cold atomic.Int64
}
