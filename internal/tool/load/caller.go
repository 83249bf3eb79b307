package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	protocol "hyssopreach/internal/protocol/caller"
)

const (
	// maxRetryDelay bounds the delay before a resend, even if a refusal asks
	// for a longer one.
	maxRetryDelay = 500 * time.Millisecond
	// minRetryDelay is the delay before a resend for which no refusal asks for
	// a longer one.
	minRetryDelay = 10 * time.Millisecond
	// maxProblemBytes bounds the body of a refusal.
	maxProblemBytes = 64 << 10
)

// outcome is what a caller knows about its request after a try.
type outcome uint8

const (
	// outcomeUnknown means that the request may or may not have run.
	outcomeUnknown outcome = iota
	// outcomeAnswered means that the request got its complete answer.
	outcomeAnswered
	// outcomeWrongAnswer means that the request got an answer that looked
	// complete but was not the expected one.
	outcomeWrongAnswer
	// outcomeNotRun means that the try did not run.
	outcomeNotRun
	// outcomeRan means that the request ran but its answer is not available.
	outcomeRan
)

// caller sends the requests of one organisation, one after another.
type caller struct {
	settings  *Settings
	client    *http.Client
	key       string
	directory *directory
	random    *rand.Rand
	report    *Report
	// onAnswerStart is called when an answer starts, unless it is nil.
	onAnswerStart func()
}

// run sends a new request until it is answered, its resends are used up, or the
// context ends, and counts how the request ended.
func (c *caller) run(ctx context.Context) {
	r := c.settings.RequestMix.newRequest(c.random)
	r.onToken = c.settings.OnToken
	c.report.update(func(p *Report) { p.Requests++ })
	began := time.Now()
	lastOutcome, neverRun := outcomeUnknown, true
	for try := 0; try <= c.settings.Resends; try++ {
		addresses := c.directory.addresses(ctx)
		var delay time.Duration
		lastOutcome, delay = c.try(ctx, addresses[try%len(addresses)], r)
		neverRun = neverRun && lastOutcome == outcomeNotRun
		if lastOutcome == outcomeAnswered || lastOutcome == outcomeWrongAnswer || ctx.Err() != nil {
			break
		}
		if try < c.settings.Resends {
			sleep(ctx, delay)
		}
	}
	c.report.countEnd(lastOutcome, r, neverRun, time.Since(began))
}

// try sends the request once and returns the outcome and the delay before the
// next try.
func (c *caller) try(ctx context.Context, address netip.AddrPort, r *request) (outcome, time.Duration) {
	c.report.update(func(p *Report) { p.Tries++ })
	began := time.Now()
	response, err := c.send(ctx, address, r)
	if err != nil {
		return c.countUnanswered(err), minRetryDelay
	}
	defer func() { _ = response.Body.Close() }()
	firstByte := time.Since(began)
	if response.StatusCode != http.StatusOK {
		return c.readRefusal(response)
	}
	if c.onAnswerStart != nil {
		c.onAnswerStart()
	}
	err = r.check(response.Body)
	switch {
	case err == nil:
		c.report.update(func(p *Report) { _ = p.FirstByte.RecordValue(max(1, firstByte.Microseconds())) })
		return outcomeAnswered, 0
	case errors.Is(err, errWrongAnswer):
		c.report.update(func(p *Report) {
			if p.FirstWrong == "" {
				p.FirstWrong = err.Error()
			}
		})
		return outcomeWrongAnswer, 0
	}
	c.report.update(func(p *Report) { p.Cut++ })
	return outcomeUnknown, minRetryDelay
}

// send sends the request and returns the response. The caller closes its body.
func (c *caller) send(ctx context.Context, address netip.AddrPort, r *request) (*http.Response, error) {
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport doesn't resend the request by itself,
	// which would make a try that is not counted.
	request.GetBody = nil
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if r.key != "" {
		// The name is in lower case because the transport may resend a request
		// that has this field in canonical spelling.
		request.Header[strings.ToLower(protocol.HeaderIdempotencyKey)] = []string{r.key}
	}
	return c.client.Do(request)
}

// countUnanswered counts a try that failed without a response header, and
// returns its outcome. Only a failed dial proves that the request did not run.
func (c *caller) countUnanswered(err error) outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.report.update(func(p *Report) { p.Undelivered++ })
		return outcomeNotRun
	}
	c.report.update(func(p *Report) { p.Lost++ })
	return outcomeUnknown
}

// readRefusal counts a refusal and returns the outcome and the retry delay that
// it states.
func (c *caller) readRefusal(response *http.Response) (outcome, time.Duration) {
	var problem protocol.Problem
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err == nil {
		err = json.Unmarshal(data, &problem)
	}
	c.report.update(func(p *Report) { p.Refused[fmt.Sprintf("%d %s", response.StatusCode, problem.Step)]++ })
	if err != nil {
		return outcomeUnknown, minRetryDelay
	}
	delay := max(minRetryDelay, min(maxRetryDelay, time.Until(problem.RetryAt)))
	switch problem.NotRun {
	case protocol.NotRunTrue:
		return outcomeNotRun, delay
	case protocol.NotRunFalse:
		return outcomeRan, delay
	}
	return outcomeUnknown, delay
}

// sleep waits for the delay, or until the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// directory determines the routers to which an organisation sends: the
// bootstrap addresses if fixed is set, otherwise those that a router has
// returned, until that answer expires.
type directory struct {
	client    *http.Client
	key       string
	bootstrap []netip.AddrPort
	fixed     bool

	mu     sync.Mutex
	answer protocol.EntryAnswer // guarded by mu
}

// addresses returns the addresses of the routers to use. If the last answer has
// expired, it queries the routers in turn, and returns the bootstrap addresses
// if none answers.
func (d *directory) addresses(ctx context.Context) []netip.AddrPort {
	if d.fixed {
		return d.bootstrap
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.answer.HoldsUntil) && len(d.answer.Routers) > 0 {
		return d.answer.Routers
	}
	for _, address := range append(d.answer.Routers[:len(d.answer.Routers):len(d.answer.Routers)], d.bootstrap...) {
		answer, err := d.queryRouters(ctx, address)
		if err == nil && len(answer.Routers) > 0 {
			d.answer = answer
			return answer.Routers
		}
	}
	return d.bootstrap
}

// queryRouters asks the router at the address for the routers to use.
func (d *directory) queryRouters(ctx context.Context, address netip.AddrPort) (protocol.EntryAnswer, error) {
	var answer protocol.EntryAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+protocol.PathRouters, nil)
	if err != nil {
		return answer, err
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	response, err := d.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("query router %v for the list of routers: found status %d, want 200", address, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}
