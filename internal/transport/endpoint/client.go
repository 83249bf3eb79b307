package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/transport/memory"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the usual keep-alive timeout of servers, so
	// that requests are seldom sent on a connection that the endpoint has just
	// closed.
	idleTimeout = 30 * time.Second
	// maxConnsPerEndpoint bounds the connections to one endpoint.
	maxConnsPerEndpoint = 512
	// maxIdleConns bounds the total number of idle connections to all endpoints.
	maxIdleConns = 8192
	// maxHeaderBytes bounds the size of an answer's header.
	maxHeaderBytes = 64 << 10
	// maxStatus is the highest status of HTTP; net/http accepts any three digits.
	maxStatus = 599
	// writeBufferBytes is the size of a connection's write buffer. Most attempts,
	// with their bodies, fit and are written at once.
	writeBufferBytes = 8 << 10
)

// Options describes the conventions of the endpoints and the limits on
// connections to them.
type Options struct {
	// AttemptHeader is the header field that carries an attempt's ID, in both
	// requests and answers.
	AttemptHeader string
	// AllowCloseDelimited allows answers with neither a length nor chunked
	// encoding, which end when the connection is closed. An answer whose
	// connection is reset still counts as broken.
	AllowCloseDelimited bool
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// ConnsPerEndpoint bounds the connections to one endpoint.
	ConnsPerEndpoint int
	// HeadMemory limits the memory of the heads of all answers; nil to limit only that
	// of each.
	HeadMemory *memory.Limiter
}

// defaultOptions are the options for endpoints listed in this project's own
// configuration format (text.Document).
var defaultOptions = Options{
	AttemptHeader: platform.HeaderRequestID, IdleTimeout: idleTimeout, ConnsPerEndpoint: maxConnsPerEndpoint,
}

// Dial opens a connection to an endpoint.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Attempt is one attempt to run a request at an endpoint.
type Attempt struct {
	// ID identifies the attempt; the endpoint repeats it in its answer.
	ID     string
	Method string
	// Path is the path and query. It is sent byte for byte; see CheckTarget.
	Path string
	// Host is the Host header of the request; if it is empty, the endpoint's
	// address is sent instead.
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent allows the attempt to be written again on another connection
	// if a reused connection turns out to be closed.
	Idempotent bool
	// MayWrite is called right before the first byte is written on a connection,
	// since the attempt may have waited for the connection. If it returns an error,
	// nothing is written. It must not block; nil means that nothing is checked.
	MayWrite func() error
	// Model is set for an attempt at a model engine, whose streams end with a
	// [DONE] event.
	Model bool
}

// Error reports the step and the endpoint at which an attempt failed.
type Error struct {
	Step     string
	Endpoint netip.AddrPort
	// Sent is false only if no byte of the attempt was handed to the operating
	// system.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %v (sent=%t): %v", e.Step, e.Endpoint, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errAnswerMismatch = errors.New("the answer doesn't name this attempt")
	errInvalidStatus  = errors.New("the status of the answer is no status of HTTP")
	errUpgrade        = errors.New("the answer switches to another protocol, which the attempt did not ask for")
)

// Client sends attempts to endpoints. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	// unpooled opens a connection for each attempt.
	unpooled *http.Transport
	// questions opens a connection for each question, however many attempts are open.
	questions *http.Transport
}

// NewClient returns a Client with the default options that opens its connections
// with dial; nil means a net.Dialer.
func NewClient(dial Dial) *Client { return NewClientWithOptions(dial, defaultOptions) }

// NewClientWithMemory is like NewClient, with a limit on the memory of the heads of all
// answers.
func NewClientWithMemory(dial Dial, heads *memory.Limiter) *Client {
	o := defaultOptions
	o.HeadMemory = heads
	return NewClientWithOptions(dial, o)
}

// NewClientWithOptions is like NewClient, with the given options.
func NewClientWithOptions(dial Dial, o Options) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        o.ConnsPerEndpoint,
		MaxIdleConnsPerHost:    o.ConnsPerEndpoint,
		MaxIdleConns:           maxIdleConns,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
	}
	unpooled := transport.Clone()
	unpooled.DisableKeepAlives = true
	questions := unpooled.Clone()
	questions.MaxConnsPerHost = 0
	return &Client{options: o, transport: transport, unpooled: unpooled, questions: questions}
}

// Close closes the connections that no attempt uses.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Do sends the attempt and returns once the head of the answer has arrived.
// Every error is an *Error. The caller must close the answer.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, a *Attempt) (*Answer, error) {
	response, d, err := c.roundTrip(ctx, c.transport, address, a)
	if d.mustAvoidPool() {
		if err == nil {
			// It was on the connection before the attempt, of which nothing was written.
			_ = response.Body.Close()
			d.head.Release()
			// Another connection of the attempt may be written until it is sealed.
			if d.seal() {
				return nil, &Error{Step: "match answer", Endpoint: address, Sent: true, Err: errAnswerMismatch}
			}
		}
		response, d, err = c.roundTrip(ctx, c.unpooled, address, a)
	}
	if err != nil {
		return nil, err
	}
	if err := c.checkHead(response, a); err != nil {
		_ = response.Body.Close()
		// The attempt's own answer may still come, on a connection that net/http takes
		// for idle.
		d.seal()
		d.head.Release()
		return nil, &Error{Step: "match answer", Endpoint: address, Sent: true, Err: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		d.recordRefusal()
	}
	answer := newAnswer(address, response, a.Model, c.options.AllowCloseDelimited)
	answer.head = &d.head
	return answer, nil
}

// roundTrip sends the attempt and returns once the head of an answer has arrived.
func (c *Client) roundTrip(ctx context.Context, transport *http.Transport, address netip.AddrPort, a *Attempt) (*http.Response, *writeTracker, error) {
	d := &writeTracker{id: xxhash.Sum64String(a.ID), singleConn: !a.Idempotent, mayWrite: a.MayWrite}
	d.head.LimitAnswer(c.options.HeadMemory)
	request, err := c.newRequest(address, a)
	if err != nil {
		return nil, d, &Error{Step: "build request", Endpoint: address, Err: err}
	}
	response, err := transport.RoundTrip(request.WithContext(d.withTrace(ctx)))
	if err != nil {
		d.head.Release()
		return nil, d, &Error{Step: "send request", Endpoint: address, Sent: d.seal(), Err: limitedError(err)}
	}
	d.head.End()
	d.recordAnswer()
	return response, d, nil
}

// checkHead returns an error if the head is no answer to the attempt.
func (c *Client) checkHead(response *http.Response, a *Attempt) error {
	if err := checkStatus(response); err != nil {
		return err
	}
	if response.Header.Get(c.options.AttemptHeader) != a.ID {
		return errAnswerMismatch
	}
	return nil
}

// checkStatus returns an error if the status is none with which an endpoint may
// end its answer.
func checkStatus(response *http.Response) error {
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		// The end of the context would not end reads of the body, because net/http
		// leaves the connection to the client.
		return errUpgrade
	case response.StatusCode < http.StatusOK || response.StatusCode > maxStatus:
		// http.ResponseWriter panics with a status below 100 and sends 101 to 199 as
		// informational.
		return errInvalidStatus
	}
	return nil
}

// newRequest builds the request. It leaves GetBody unset, since GetBody would
// allow net/http to send the body again.
func (c *Client) newRequest(address netip.AddrPort, a *Attempt) (*http.Request, error) {
	target, err := targetURL(address, a.Path)
	if err != nil {
		return nil, err
	}
	host := a.Host
	if host == "" {
		host = target.Host
	}
	request := &http.Request{
		Method:        a.Method,
		URL:           target,
		Host:          host,
		Header:        c.endpointHeader(a.Header, a.ID),
		ContentLength: int64(len(a.Body)),
	}
	if len(a.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	return request, nil
}

// hopByHopHeaders are the header fields that are never forwarded. Most concern a
// single connection; net/http sets Content-Length and Host itself, and Expect is
// obsolete because the body has been received already.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// CopyHeader copies the header fields of source to target, except
// hopByHopHeaders and the fields that the Connection field of source names.
func CopyHeader(target, source http.Header) {
	var connectionOptions []string
	for _, value := range source.Values("Connection") {
		connectionOptions = append(connectionOptions, strings.Split(value, ",")...)
	}
	for name, values := range source {
		if !hopByHopHeaders[http.CanonicalHeaderKey(name)] {
			target[name] = values
		}
	}
	for _, name := range connectionOptions {
		target.Del(strings.TrimSpace(name))
	}
}

// endpointHeader returns the header of an attempt. It spells the names of the
// idempotency key fields in lower case, which is equivalent for the endpoint,
// because net/http may resend a request that has one of these fields in
// canonical spelling.
func (c *Client) endpointHeader(source http.Header, id string) http.Header {
	header := make(http.Header, len(source)+1)
	CopyHeader(header, source)
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
	header[http.CanonicalHeaderKey(c.options.AttemptHeader)] = []string{id}
	return header
}
