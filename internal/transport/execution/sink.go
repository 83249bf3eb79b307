package execution

import "net/http"

// Sink receives an answer. Begin is called first, and End last and only after a
// complete answer; an answer without End broke off.
type Sink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) (int, error)
	End() error
}

// sinkTracker wraps a Sink and records whether an answer has begun. From then
// on the call cannot be retried from the start; its answer can be resumed at
// most.
type sinkTracker struct {
	Sink
	started bool
	// form is that of the answer that has begun.
	form answerForm
}

// Begin records that the answer has begun and forwards its head.
func (b *sinkTracker) Begin(status int, header http.Header) error {
	b.started, b.form = true, formOf(status, header)
	return b.Sink.Begin(status, header)
}
