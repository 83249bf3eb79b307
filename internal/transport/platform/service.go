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
	// maxConns limits the connections to one service.
	maxConns = 16
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// maxAnswerBytes limits the size of a response.
	maxAnswerBytes = 128 << 20
)

// Dial opens a connection to a service of the platform.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// service is an HTTP client of one service of the platform. Requests and
// responses are JSON.
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

// Close closes the idle connections.
func (s service) Close() error {
	s.transport.CloseIdleConnections()
	return nil
}

// result is the outcome of a request.
type result struct {
	status int
	// message is the body of the response, for error messages.
	message string
	// notSent is set if the request's body was never read for sending, so that
	// the service can't have acted on the request.
	notSent bool
	err     error
}

func (r result) failure() error {
	if r.err != nil {
		return r.err
	}
	return fmt.Errorf("status %d: %s", r.status, r.message)
}

// The states of a guardedBody. It leaves bodyUnread with its first read or with
// seal, whichever comes first.
const (
	bodyUnread = iota
	bodyRead
	bodySealed
)

var errSealed = errors.New("the request has failed; its body is not sent")

// guardedBody is a request body that records whether a read of it has begun. A
// request whose body was not read is incomplete, so that the service can't act
// on it.
type guardedBody struct {
	reader io.Reader
	state  atomic.Int32
}

// Read reads from the body, or fails if the body is sealed.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodySealed {
		return 0, errSealed
	}
	return b.reader.Read(p)
}

// Close does nothing, because the body is in memory.
func (b *guardedBody) Close() error { return nil }

// seal makes later reads fail. It returns false if a read has begun already.
func (b *guardedBody) seal() bool { return b.state.CompareAndSwap(bodyUnread, bodySealed) }

// call sends a request without retrying it, and decodes the JSON body of status
// 200 or 410 into response.
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
		// GetBody stays unset, so that net/http can't send the body twice.
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
	outcome := result{status: answer.StatusCode, message: string(bytes.TrimSpace(data))}
	if outcome.status == http.StatusOK || outcome.status == http.StatusGone {
		outcome.err = json.Unmarshal(data, response)
	}
	return outcome
}
