package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const (
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 4 * time.Second
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 30 * time.Millisecond
	// sameRouterShare is the share of requests that go to the router that the
	// caller used last, even if that router is no longer listed, provided that
	// the router's process is running.
	sameRouterShare = 0.5
	// removedKeyShare is the share of requests with a removed key.
	removedKeyShare = 0.1
)

// caller sends requests one after another.
type caller struct {
	soak   *Soak
	random *rand.Rand
	client *http.Client
	// listedRouters holds the routers that a directory listed last, and listedAt
	// is when the caller received the list.
	listedRouters []netip.AddrPort
	listedAt      time.Time
	lastRouter    int
	sent          int
	name          string
	// currentKeyOnly is set for a caller that never uses a removed key.
	currentKeyOnly bool
}

func newCaller(s *Soak, number int, seed uint64) *caller {
	return &caller{
		soak: s, random: rand.New(rand.NewPCG(seed, uint64(number)+1)), name: fmt.Sprint("c", number), lastRouter: -1,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendOne(ctx)
		pause(ctx, time.Duration(c.random.ExpFloat64()*float64(callerPause)))
	}
}

// sendOne sends one request and reports whether it was served.
func (c *caller) sendOne(ctx context.Context) bool {
	router := c.chooseRouter(ctx)
	if router < 0 {
		return false
	}
	kind := []string{kindOnce, kindSafe, kindStream}[c.random.IntN(3)]
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	req := &sentRequest{
		ID: id, Kind: kind, Method: http.MethodPost, Path: "/" + kind + "/x?n=" + id, Key: c.chooseKey(),
		Body: strings.Repeat(id, 1+c.random.IntN(200)), Router: router, SentAt: time.Now(),
	}
	if c.soak.options.CrashingParts > 0 {
		req.Part = fmt.Sprintf("%x", id)
	}
	return c.send(ctx, req)
}

// send sends the request and reports whether it was served.
func (c *caller) send(ctx context.Context, req *sentRequest) bool {
	c.soak.Checker.recordSent(req)
	status, outcome := c.exchange(ctx, req)
	c.soak.Checker.recordOutcome(req, status, outcome)
	return outcome == outcomeServed
}

func (c *caller) chooseKey() string {
	current, removed := c.soak.callerKeys()
	if !c.currentKeyOnly && len(removed) > 0 && c.random.Float64() < removedKeyShare {
		return removed[c.random.IntN(len(removed))]
	}
	return current
}

// chooseRouter returns the index of the router to call, or -1 if none is known.
func (c *caller) chooseRouter(ctx context.Context) int {
	if c.lastRouter >= 0 && c.random.Float64() < sameRouterShare && c.soak.routers[c.lastRouter].process.Running() {
		return c.lastRouter
	}
	if time.Since(c.listedAt) > time.Second || len(c.listedRouters) == 0 {
		for _, i := range c.random.Perm(len(c.soak.routers)) {
			if found, err := c.resolve(ctx, c.soak.routers[i].directoryAddress); err == nil && len(found) > 0 {
				c.listedRouters, c.listedAt = found, time.Now()
				break
			}
		}
	}
	if len(c.listedRouters) == 0 {
		return -1
	}
	c.lastRouter = c.soak.routerIndex(c.listedRouters[c.random.IntN(len(c.listedRouters))])
	return c.lastRouter
}

// resolve returns the routers that the directory lists for callers.
func (c *caller) resolve(ctx context.Context, directoryAddress netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.soak.options.Dialect.RouterListURL(directoryAddress), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return c.soak.options.Dialect.ParseRouterList(response.Body)
}

// The outcomes of requests, as the report names them.
const (
	outcomeServed       = "served"
	outcomeRefused      = "refused"
	outcomeFailed       = "failed"
	outcomeNotConnected = "not connected"
	outcomeCut          = "cut"
	outcomeLate         = "too late"
)

// exchange sends the request and checks the answer.
func (c *caller) exchange(ctx context.Context, req *sentRequest) (status int, outcome string) {
	ctx, cancel := context.WithTimeout(ctx, callerDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, req.Method, "http://"+c.soak.routers[req.Router].callerAddress.String()+req.Path, strings.NewReader(req.Body))
	if err != nil {
		c.soak.Checker.recordViolation("soak", "%v", err)
		return 0, outcomeFailed
	}
	names := c.soak.options.Dialect.HeaderNames()
	// Without GetBody, the HTTP transport can't resend the request by itself.
	request.Host, request.GetBody = host, nil
	request.Header.Set(names.ID, req.ID)
	request.Header.Set(names.Key, req.Key)
	request.Header.Set(names.Deadline, fmt.Sprint(callerDeadline.Milliseconds()))
	setPrompt(request.Header, names, req)
	response, err := c.client.Do(request)
	if err != nil {
		return 0, c.classifyFailure(ctx, req, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(names.Leaving) != "" {
		c.soak.recordLeavingAnswer(response.Header.Get(names.Stamp), req.Router, time.Now())
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, c.classifyFailure(ctx, req, err)
	}
	return response.StatusCode, c.checkAnswer(req, response, string(data))
}

// classifyFailure returns the outcome of a request that got no complete answer.
func (c *caller) classifyFailure(ctx context.Context, req *sentRequest, err error) string {
	var dialError *net.OpError
	switch {
	case errors.As(err, &dialError) && dialError.Op == "dial":
		return outcomeNotConnected
	case ctx.Err() != nil:
		return outcomeLate
	}
	c.soak.checkCut(req, err)
	return outcomeCut
}

func (c *caller) checkAnswer(req *sentRequest, response *http.Response, body string) string {
	checker := c.soak.Checker
	stamped := response.Header.Get(c.soak.options.Dialect.HeaderNames().Stamp) != ""
	switch status := response.StatusCode; {
	case status == http.StatusOK && !stamped:
		checker.recordViolation("answer", "%s got status 200 without the stamp of an endpoint", req.ID)
	case status == http.StatusOK && body != expectedAnswer(req):
		checker.recordViolation("answer", "%s got %d bytes that differ from its expected answer", req.ID, len(body))
	case status == http.StatusOK:
		return outcomeServed
	case status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusForbidden:
		c.soak.checkDenial(req, status)
		return outcomeRefused
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return outcomeRefused
	}
	return outcomeFailed
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
