package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"hyssopreach/internal/protocol/platform"
)

// maxControlAnswerBytes bounds the size of the answer to a control request.
const maxControlAnswerBytes = 1 << 20

// ErrFenced is returned by Order when the endpoint rejects an order because it
// has received one with a newer fencing number.
var ErrFenced = errors.New("the order's fencing number is old")

// ErrNoRequest is returned by Cancel when the endpoint doesn't know the request,
// because the request has ended or was never received.
var ErrNoRequest = errors.New("the endpoint knows no such request")

// Instance returns the endpoint's description of itself.
func (c *Client) Instance(ctx context.Context, address netip.AddrPort) (platform.Instance, error) {
	var instance platform.Instance
	err := c.sendControl(ctx, address, http.MethodGet, platform.PathInstance, nil, &instance)
	return instance, err
}

// Load returns the endpoint's load report.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (platform.Load, error) {
	var load platform.Load
	err := c.sendControl(ctx, address, http.MethodGet, platform.PathLoad, nil, &load)
	return load, err
}

// Events returns the engine's cache events, beginning with the sequence number
// from.
func (c *Client) Events(ctx context.Context, address netip.AddrPort, from uint64) ([]platform.CacheEvent, error) {
	var events []platform.CacheEvent
	path := platform.PathCacheEvents + "?" + platform.QueryFrom + "=" + strconv.FormatUint(from, 10)
	err := c.sendControl(ctx, address, http.MethodGet, path, nil, &events)
	return events, err
}

// Order sends an order to the engine. The error wraps ErrFenced if the engine
// has received an order with a newer fencing number.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, order platform.Order) error {
	err := c.sendControl(ctx, address, http.MethodPost, platform.PathOrders, order, nil)
	if statusOf(err) == http.StatusConflict {
		return &Error{Step: "give order", Endpoint: address, Sent: true, Err: ErrFenced}
	}
	return err
}

// Cancel ends the attempt with the given ID. The error wraps ErrNoRequest if the
// endpoint doesn't know the attempt.
func (c *Client) Cancel(ctx context.Context, address netip.AddrPort, id string) error {
	path := strings.Replace(platform.PathCancel, "{RequestID}", url.PathEscape(id), 1)
	err := c.sendControl(ctx, address, http.MethodDelete, path, nil, nil)
	if statusOf(err) == http.StatusNotFound {
		return &Error{Step: "cancel request", Endpoint: address, Sent: true, Err: ErrNoRequest}
	}
	return err
}

// StatusError reports a status other than success in the answer to a control
// request.
type StatusError struct {
	Status int
	// Message is the beginning of the answer.
	Message string
}

// Error returns the status and the message.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

func statusOf(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// sendControl sends a control request, which concerns the endpoint itself, and
// decodes the answer into result unless result is nil.
func (c *Client) sendControl(ctx context.Context, address netip.AddrPort, method, path string, body, result any) error {
	step := strings.ToLower(method) + " " + path
	data, err := encode(body)
	if err != nil {
		return &Error{Step: step, Endpoint: address, Err: err}
	}
	d := &writeTracker{}
	d.head.LimitAnswer(c.options.HeadMemory)
	defer d.head.Release()
	request, err := c.newRequest(address, &Attempt{Method: method, Path: path, Body: data})
	if err != nil {
		return &Error{Step: step, Endpoint: address, Err: err}
	}
	request.Header.Del(c.options.AttemptHeader)
	response, err := c.transport.RoundTrip(request.WithContext(d.withTrace(ctx)))
	if err != nil {
		return &Error{Step: step, Endpoint: address, Sent: d.seal(), Err: limitedError(err)}
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(response); err != nil {
		return &Error{Step: step, Endpoint: address, Sent: true, Err: err}
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxControlAnswerBytes))
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		message := bytes.TrimSpace(answer)
		err = &StatusError{response.StatusCode, string(message[:min(len(message), maxErrorBytes)])}
	}
	if err == nil && result != nil {
		err = json.Unmarshal(answer, result)
	}
	if err != nil {
		return &Error{Step: step, Endpoint: address, Sent: true, Err: err}
	}
	return nil
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// ControlAnswer is an answer to a question about the endpoint itself.
type ControlAnswer struct {
	Status int
	Header http.Header
	// Body is the part of the body that has arrived, if it is in JSON and marks its end.
	Body []byte
}

// Ask sends a question about the endpoint itself on a new connection and returns its answer,
// whatever its status. The memory of the whole answer is accounted for like that of a head,
// and a body for which there is none is not read on. Every error is an *Error.
func (c *Client) Ask(ctx context.Context, address netip.AddrPort, path string, header http.Header) (*ControlAnswer, error) {
	step := "ask " + path
	d := &writeTracker{}
	d.head.LimitAnswer(c.options.HeadMemory)
	defer d.head.Release()
	request, err := c.newRequest(address, &Attempt{Method: http.MethodGet, Path: path, Header: header})
	if err != nil {
		return nil, &Error{Step: step, Endpoint: address, Err: err}
	}
	request.Header.Del(c.options.AttemptHeader)
	response, err := c.questions.RoundTrip(request.WithContext(d.withTrace(ctx)))
	if err != nil {
		return nil, &Error{Step: step, Endpoint: address, Sent: d.seal(), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(response); err != nil {
		return nil, &Error{Step: step, Endpoint: address, Sent: true, Err: err}
	}
	a := &ControlAnswer{Status: response.StatusCode, Header: response.Header}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err == nil && mediaType == "application/json" && (response.ContentLength > 0 || len(response.TransferEncoding) > 0) {
		// The head alone shows that the endpoint has answered.
		a.Body, _ = io.ReadAll(io.LimitReader(response.Body, maxControlAnswerBytes))
	}
	return a, nil
}
