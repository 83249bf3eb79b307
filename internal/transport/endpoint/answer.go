package endpoint

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"net/netip"

	"hyssopreach/internal/transport/memory"
)

// errUndelimited reports an answer with neither a length nor chunked encoding,
// so that it cannot be known whether the answer is complete.
var errUndelimited = errors.New("the answer doesn't mark its end")

// errStreamIncomplete reports a stream that ended without a [DONE] event.
var errStreamIncomplete = errors.New("the stream ended before its last event")

// Answer is an endpoint's answer to one attempt.
type Answer struct {
	endpoint netip.AddrPort
	response *http.Response
	// events is nil unless the answer is the stream of a model engine.
	events *eventReader
	// undelimited is set if the answer has neither a length nor chunked
	// encoding and the client's options do not allow that.
	undelimited bool
	// head accounts for the memory of the head; nil if nothing does.
	head *memory.HeadMeter
}

func newAnswer(endpoint netip.AddrPort, response *http.Response, model, allowCloseDelimited bool) *Answer {
	a := &Answer{endpoint: endpoint, response: response}
	a.undelimited = !allowCloseDelimited && a.CloseDelimited()
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if model && err == nil && mediaType == "text/event-stream" {
		a.events = &eventReader{}
	}
	return a
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header returns the header of the answer.
func (a *Answer) Header() http.Header { return a.response.Header }

// CloseDelimited reports whether the answer has neither a length nor chunked encoding,
// and so ends with its connection.
func (a *Answer) CloseDelimited() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 && a.response.Body != http.NoBody
}

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body. It returns io.EOF only once the complete answer has been
// read.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if a.events != nil {
		a.events.write(p[:n])
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		if err = a.checkComplete(); err == nil {
			return n, io.EOF
		}
	}
	return n, &Error{Step: "read answer", Endpoint: a.endpoint, Sent: true, Err: limitedError(err)}
}

// checkComplete returns an error if the body has ended but the answer cannot be
// known to be complete.
func (a *Answer) checkComplete() error {
	switch {
	case a.events != nil && !a.events.done:
		return errStreamIncomplete
	case a.events == nil && a.undelimited:
		return errUndelimited
	}
	return nil
}

// Tokens returns the number of events read so far from the stream of a model
// engine, which sends one event per token; it returns 0 for other answers.
func (a *Answer) Tokens() int {
	if a.events == nil {
		return 0
	}
	return a.events.count
}

// Close discards the rest of the answer.
func (a *Answer) Close() error {
	if a.head != nil {
		a.head.Release()
	}
	return a.response.Body.Close()
}
