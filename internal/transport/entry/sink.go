package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/transport/endpoint"
)

// Sink writes an answer to a caller; see execution.Sink.
type Sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	stream     bool
	timeout    time.Duration
	// deadline is the one that the connection has for writes.
	deadline time.Time
	began    bool
}

// NewSink returns a sink over the writer. A stream is flushed with every part,
// and a caller that takes nothing for the timeout is given up, at times a
// little earlier.
func NewSink(w http.ResponseWriter, stream bool, timeout time.Duration) *Sink {
	return &Sink{writer: w, controller: http.NewResponseController(w), stream: stream, timeout: timeout}
}

// Begin sends the head of the answer.
func (s *Sink) Begin(status int, header http.Header) error {
	s.began = true
	h := s.writer.Header()
	id := h.Get(caller.HeaderRequestID)
	endpoint.CopyHeader(h, header)
	// The endpoint repeats the attempt's id; the caller knows the request's.
	if id != "" {
		h.Set(caller.HeaderRequestID, id)
	}
	s.writer.WriteHeader(status)
	return nil
}

// Write sends a part of the answer; a caller that does not take it in time is
// given up.
func (s *Sink) Write(p []byte) (int, error) {
	// A stream has many small parts; moving the deadline for each would cost
	// more than writing it.
	if now := time.Now(); s.deadline.Sub(now) < s.timeout*3/4 {
		s.deadline = now.Add(s.timeout)
		// A writer that knows no deadlines is a test's recorder.
		_ = s.controller.SetWriteDeadline(s.deadline)
	}
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

// End finishes a whole answer.
func (s *Sink) End() error { return nil }

// streamError is the last event of a stream that broke off.
type streamError struct {
	Error *caller.Problem `json:"error"`
}

// abort ends an answer that broke off so that no caller can take it for a
// whole one: the connection is closed before the answer's end.
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
