package execution

import "net/http"

// Sink receives an answer. Begin comes first, End last and only after a whole
// answer; an answer without End has broken off.
type Sink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) (int, error)
	End() error
}

// begun wraps a sink and remembers whether an answer has begun, after which
// the call can no longer be retried.
type begun struct {
	Sink
	started bool
}

// Begin passes the head of the answer on.
func (b *begun) Begin(status int, header http.Header) error {
	b.started = true
	return b.Sink.Begin(status, header)
}
