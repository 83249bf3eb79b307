package endpoint

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"net/netip"
)

// errEndUnmarked is the fault of an answer that gives neither its length nor
// chunks, so that nobody can tell whether it is whole.
var errEndUnmarked = errors.New("the answer doesn't mark its end")

// errNotDone is the fault of a stream that ends before its last event.
var errNotDone = errors.New("the stream ended before its last event")

// Answer is the answer of an endpoint to one attempt.
type Answer struct {
	endpoint netip.AddrPort
	response *http.Response
	events   *eventReader
	unmarked bool
}

func newAnswer(endpoint netip.AddrPort, response *http.Response, model, unmarkedEnd bool) *Answer {
	a := &Answer{endpoint: endpoint, response: response}
	a.unmarked = !unmarkedEnd && response.ContentLength < 0 && len(response.TransferEncoding) == 0 &&
		response.Body != http.NoBody
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if model && err == nil && kind == "text/event-stream" {
		a.events = &eventReader{}
	}
	return a
}

// Status is the HTTP status.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header is the header of the answer.
func (a *Answer) Header() http.Header { return a.response.Header }

// Length is the length of the body in bytes, -1 if the endpoint didn't say.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read returns io.EOF only once the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if a.events != nil {
		a.events.write(p[:n])
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		if err = a.end(); err == nil {
			return n, io.EOF
		}
	}
	return n, &Error{Step: "read answer", Endpoint: a.endpoint, Sent: true, Err: err}
}

// end judges an answer whose connection says that it has ended.
func (a *Answer) end() error {
	switch {
	case a.events != nil && !a.events.done:
		return errNotDone
	case a.events == nil && a.unmarked:
		return errEndUnmarked
	}
	return nil
}

// Tokens is the number of events so far, in the stream of a model engine.
func (a *Answer) Tokens() int {
	if a.events == nil {
		return 0
	}
	return a.events.count
}

// Close gives up on what is left of the answer.
func (a *Answer) Close() error { return a.response.Body.Close() }
