package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"hyssopreach/internal/protocol/platform"
)

// maxReportBytes bounds what an endpoint may say of itself.
const maxReportBytes = 1 << 20

// ErrFenced is returned for an order that the endpoint refused because it has
// seen a newer one.
var ErrFenced = errors.New("the order's fencing number is old")

// ErrNoRequest is returned by Cancel when the endpoint doesn't know the
// request, because it has ended or never came.
var ErrNoRequest = errors.New("the endpoint knows no such request")

// Instance asks the endpoint who it is.
func (c *Client) Instance(ctx context.Context, address netip.AddrPort) (platform.Instance, error) {
	var instance platform.Instance
	err := c.control(ctx, address, http.MethodGet, platform.PathInstance, nil, &instance)
	return instance, err
}

// Load asks the endpoint for its load report.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (platform.Load, error) {
	var load platform.Load
	err := c.control(ctx, address, http.MethodGet, platform.PathLoad, nil, &load)
	return load, err
}

// Events asks the engine for its cache events from the sequence number on.
func (c *Client) Events(ctx context.Context, address netip.AddrPort, from uint64) ([]platform.CacheEvent, error) {
	var events []platform.CacheEvent
	path := platform.PathEvents + "?" + platform.QueryFrom + "=" + strconv.FormatUint(from, 10)
	err := c.control(ctx, address, http.MethodGet, path, nil, &events)
	return events, err
}

// Order gives the engine an order; it returns ErrFenced if the engine has
// obeyed a newer one.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, order platform.Order) error {
	err := c.control(ctx, address, http.MethodPost, platform.PathOrders, order, nil)
	if statusOf(err) == http.StatusConflict {
		return &Error{Step: "give order", Endpoint: address, Sent: true, Err: ErrFenced}
	}
	return err
}

// Cancel ends the attempt of that id.
func (c *Client) Cancel(ctx context.Context, address netip.AddrPort, id string) error {
	path := strings.Replace(platform.PathCancel, "{RequestID}", url.PathEscape(id), 1)
	err := c.control(ctx, address, http.MethodDelete, path, nil, nil)
	if statusOf(err) == http.StatusNotFound {
		return &Error{Step: "cancel request", Endpoint: address, Sent: true, Err: ErrNoRequest}
	}
	return err
}

// StatusError is a status that the caller of a control request did not want.
type StatusError struct {
	Status  int
	Message string
}

// Error gives the status and the beginning of the message.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Message) }

func statusOf(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Status
	}
	return 0
}

// control sends a message about the endpoint itself and reads the answer into
// the result, unless that is nil.
func (c *Client) control(ctx context.Context, address netip.AddrPort, method, path string, body, result any) error {
	step := strings.ToLower(method) + " " + path
	data, err := encode(body)
	if err != nil {
		return &Error{Step: step, Endpoint: address, Err: err}
	}
	d := &delivery{}
	request, err := c.newRequest(address, &Attempt{Method: method, Path: path, Body: data})
	if err != nil {
		return &Error{Step: step, Endpoint: address, Err: err}
	}
	request.Header.Del(c.options.AttemptHeader)
	response, err := c.transport.RoundTrip(request.WithContext(d.withTrace(ctx)))
	if err != nil {
		return &Error{Step: step, Endpoint: address, Sent: d.seal(), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		err = &StatusError{response.StatusCode, string(bytes.TrimSpace(answer))}
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
