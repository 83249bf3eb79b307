package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// maxConns bounds the connections to one service.
	maxConns = 16
	// idleTimeout is the time for which an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxAnswerBytes bounds an answer of the platform.
	maxAnswerBytes = 128 << 20
)

// Dial opens a connection to a service of the platform.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// service speaks JSON with one service of the platform.
type service struct {
	address   netip.AddrPort
	transport *http.Transport
}

func newService(address netip.AddrPort, dial Dial) service {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return service{address, &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Close closes the connections that no request uses.
func (s service) Close() error {
	s.transport.CloseIdleConnections()
	return nil
}

// result is how a request ended.
type result struct {
	status int
	// message is the body of an answer that is no success.
	message string
	// notSent is set if the request's body was never asked for, so that the
	// service can't have acted on it.
	notSent bool
	err     error
}

func (r result) failure() error {
	if r.err != nil {
		return r.err
	}
	return fmt.Errorf("status %d: %s", r.status, r.message)
}

// The states of a guardedBody.
const (
	bodyUntouched = iota
	bodyRead
	bodySealed
)

var errSealed = errors.New("the request was given up")

// guardedBody notes whether anybody began to read it. A request whose body
// was not read is incomplete, so that the service can't act on it.
type guardedBody struct {
	reader io.Reader
	state  atomic.Int32
}

// Read reads unless the body is sealed.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUntouched, bodyRead) && b.state.Load() == bodySealed {
		return 0, errSealed
	}
	return b.reader.Read(p)
}

// Close does nothing: the body is only memory.
func (b *guardedBody) Close() error { return nil }

// seal prevents the first read; it returns false if that has happened.
func (b *guardedBody) seal() bool { return b.state.CompareAndSwap(bodyUntouched, bodySealed) }

// call sends one request, once, and decodes a JSON answer into the response.
func (s service) call(ctx context.Context, method, path string, body, response any) result {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address.String()+path, nil)
	if err != nil {
		return result{notSent: true, err: err}
	}
	var guarded guardedBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return result{notSent: true, err: err}
		}
		// Without GetBody net/http can't send the body a second time.
		guarded.reader = bytes.NewReader(data)
		request.Body = &guarded
		request.ContentLength = int64(len(data))
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := s.transport.RoundTrip(request)
	if err != nil {
		return result{notSent: body != nil && guarded.seal(), err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return result{status: answer.StatusCode, err: fmt.Errorf("read answer: %w", err)}
	}
	done := result{status: answer.StatusCode, message: string(bytes.TrimSpace(data))}
	if done.status == http.StatusOK || done.status == http.StatusGone {
		done.err = json.Unmarshal(data, response)
	}
	return done
}
