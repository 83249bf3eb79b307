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
	"net/url"
	"strings"
	"time"

	"hyssopreach/internal/protocol/platform"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the usual keep-alive of servers, so that
	// seldom a request meets a connection that the endpoint has just closed.
	idleTimeout = 30 * time.Second
	// maxConnsPerEndpoint bounds the connections to one endpoint.
	maxConnsPerEndpoint = 512
	// maxIdleConns bounds the idle connections to all endpoints.
	maxIdleConns = 8192
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// Options say what endpoints speak beside plain HTTP.
type Options struct {
	// AttemptHeader is the field that carries an attempt's id, in both
	// directions.
	AttemptHeader string
	// UnmarkedEnd allows answers that give neither their length nor chunks and
	// end with the connection; one that is reset is still broken.
	AllowCloseDelimited bool
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// ConnsPerEndpoint bounds the connections to one endpoint.
	ConnsPerEndpoint int
}

// defaultOptions are for the endpoints that the product's own text names.
var defaultOptions = Options{
	AttemptHeader: platform.HeaderRequest, IdleTimeout: idleTimeout, ConnsPerEndpoint: maxConnsPerEndpoint,
}

// Dial opens a connection to an endpoint.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Attempt is one try to run a request at an endpoint.
type Attempt struct {
	// ID is unique; the endpoint repeats it in its answer.
	ID     string
	Method string
	// Path is the path and query.
	Path string
	// Host is the host that the endpoint is asked for; empty stands for its
	// address.
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent attempts may be written again on another connection when
	// a kept connection turns out to be closed.
	Idempotent bool
	// Model is set for an attempt at a model engine, whose streams end with
	// a mark of their own.
	Model bool
}

// Error says at which step and endpoint an attempt failed.
type Error struct {
	Step     string
	Endpoint netip.AddrPort
	// Sent is false only if nothing of the attempt has left.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %v (sent=%t): %v", e.Step, e.Endpoint, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var errForeignAnswer = errors.New("the answer doesn't name this attempt")

// Client sends attempts to endpoints. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
}

// NewClient returns a client that opens its connections by dial; nil stands
// for a plain dialer.
func NewClient(dial Dial) *Client { return NewClientWithOptions(dial, defaultOptions) }

// NewClientOf returns a client of endpoints that speak as the options say.
func NewClientWithOptions(dial Dial, o Options) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{options: o, transport: &http.Transport{
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
	}}
}

// Close closes the connections that no attempt uses.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Do sends the attempt and returns the head of the answer. Every error is an
// *Error. The answer must be closed.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, a *Attempt) (*Answer, error) {
	d := &delivery{once: !a.Idempotent}
	request, err := c.newRequest(address, a)
	if err != nil {
		return nil, &Error{Step: "build request", Endpoint: address, Err: err}
	}
	response, err := c.transport.RoundTrip(request.WithContext(d.withTrace(ctx)))
	if err != nil {
		return nil, &Error{Step: "send request", Endpoint: address, Sent: d.seal(), Err: err}
	}
	if response.Header.Get(c.options.AttemptHeader) != a.ID {
		_ = response.Body.Close()
		return nil, &Error{Step: "match answer", Endpoint: address, Sent: true, Err: errForeignAnswer}
	}
	return newAnswer(address, response, a.Model, c.options.AllowCloseDelimited), nil
}

// newRequest builds the request without GetBody, which would let net/http
// send the body again.
func (c *Client) newRequest(address netip.AddrPort, a *Attempt) (*http.Request, error) {
	target, err := url.ParseRequestURI(a.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", address.String()
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

// singleHopHeaders are meant for one connection and never passed on.
var singleHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// CopyHeader adds to the target the fields of the source that are meant for
// more than one connection.
func CopyHeader(target, source http.Header) {
	var named []string
	for _, line := range source.Values("Connection") {
		named = append(named, strings.Split(line, ",")...)
	}
	for name, values := range source {
		if !singleHopHeaders[http.CanonicalHeaderKey(name)] {
			target[name] = values
		}
	}
	for _, name := range named {
		target.Del(strings.TrimSpace(name))
	}
}

// endpointHeader is the header of an attempt. The idempotency keys are spelt
// in lower case, which means the same to the endpoint, because net/http takes
// their canonical spelling as leave to send a request twice.
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
