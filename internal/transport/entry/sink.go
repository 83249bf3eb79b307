package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/transport/endpoint"
)

// Sink writes an answer to a caller. It implements execution.Sink.
type Sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	stream     bool
	timeout    time.Duration
	// deadline is the current write deadline of the connection.
	deadline time.Time
	began    bool
}

// NewSink returns a Sink that writes to w. It flushes a stream after every
// part. A write fails if the caller does not accept the part within the timeout,
// or up to a quarter of the timeout earlier.
func NewSink(w http.ResponseWriter, stream bool, timeout time.Duration) *Sink {
	return &Sink{writer: w, controller: http.NewResponseController(w), stream: stream, timeout: timeout}
}

// Began reports whether the answer has begun.
func (s *Sink) Began() bool { return s.began }

// Begin sends the head of the answer.
func (s *Sink) Begin(status int, header http.Header) error {
	s.began = true
	h := s.writer.Header()
	id := h.Get(caller.HeaderRequestID)
	endpoint.CopyHeader(h, header)
	// The endpoint's answer carries the ID of the attempt; the caller expects
	// the ID of its request.
	if id != "" {
		h.Set(caller.HeaderRequestID, id)
	}
	s.writer.WriteHeader(status)
	return nil
}

// Write sends a part of the answer. It fails if the caller does not accept the
// part in time.
func (s *Sink) Write(p []byte) (int, error) {
	s.extendDeadline()
	n, err := s.writer.Write(p)
	if err != nil {
		return n, fmt.Errorf("write to the caller: %w", err)
	}
	if s.stream {
		if err := s.controller.Flush(); err != nil {
			return n, fmt.Errorf("flush to the caller: %w", err)
		}
	}
	return n, nil
}

// End implements execution.Sink; the HTTP server ends a complete answer when the
// handler returns. It then writes what it has buffered, and the end of the body.
func (s *Sink) End() error {
	s.extendDeadline()
	return nil
}

// extendDeadline gives the caller time to accept what is written next. A stream has
// many small parts, and setting the deadline for each would cost more than writing it.
// The deadline is therefore extended only once less than three quarters of the timeout
// remain.
func (s *Sink) extendDeadline() {
	if now := time.Now(); s.deadline.Sub(now) < s.timeout*3/4 {
		s.deadline = now.Add(s.timeout)
		// Only the response recorders of tests do not support deadlines.
		_ = s.controller.SetWriteDeadline(s.deadline)
	}
}

// streamError is the last event of a stream that broke off.
type streamError struct {
	Error *caller.Problem `json:"error"`
}

// abort ends an answer that broke off. It closes the connection before the end
// of the answer, so that the caller cannot mistake the answer for a complete
// one.
func (s *Sink) abort(id string, err error) {
	if s.began && s.stream {
		event, marshalErr := json.Marshal(streamError{&caller.Problem{
			Type: "about:blank", Title: "The answer broke off", Status: http.StatusBadGateway,
			Detail: err.Error(), NotRun: caller.NotRunUnknown, Step: "Execute", RequestID: id,
		}})
		if marshalErr == nil {
			_, _ = s.Write([]byte("data: " + string(event) + "\n\n"))
		}
	}
	panic(http.ErrAbortHandler)
}
