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
	// longestPause bounds the wait before a resend, whatever a refusal says.
	longestPause = 500 * time.Millisecond
	// shortestPause is the wait before a resend that nobody asked to delay.
	shortestPause = 10 * time.Millisecond
	// maxProblemBytes bounds a refusal.
	maxProblemBytes = 64 << 10
)

// told is what a caller knows after a try.
type told uint8

const (
	toldNothing told = iota
	toldAnswer
	toldWrong
	toldNotRun
	toldRan
)

// caller sends the requests of one organisation, one after another.
type caller struct {
	settings  *Settings
	client    *http.Client
	key       string
	directory *directory
	random    *rand.Rand
	report    *Report
	// answering is called when an answer begins; nil for nobody.
	answering func()
}

// run sends one request until it is answered or its resends are used up.
func (c *caller) run(ctx context.Context) {
	r := c.settings.Work.newRequest(c.random)
	r.served = c.settings.Served
	c.report.count(func(p *Report) { p.Requests++ })
	began := time.Now()
	last, neverRun := toldNothing, true
	for try := 0; try <= c.settings.Resends; try++ {
		addresses := c.directory.addresses(ctx)
		var pause time.Duration
		last, pause = c.try(ctx, addresses[try%len(addresses)], r)
		neverRun = neverRun && last == toldNotRun
		if last == toldAnswer || last == toldWrong || ctx.Err() != nil {
			break
		}
		if try < c.settings.Resends {
			sleep(ctx, pause)
		}
	}
	c.report.ended(last, r, neverRun, time.Since(began))
}

// try sends the request once and returns the pause before the next try.
func (c *caller) try(ctx context.Context, address netip.AddrPort, r *request) (told, time.Duration) {
	c.report.count(func(p *Report) { p.Tries++ })
	began := time.Now()
	response, err := c.send(ctx, address, r)
	if err != nil {
		return c.unanswered(err), shortestPause
	}
	defer func() { _ = response.Body.Close() }()
	firstByte := time.Since(began)
	if response.StatusCode != http.StatusOK {
		return c.refused(response)
	}
	if c.answering != nil {
		c.answering()
	}
	err = r.check(response.Body)
	switch {
	case err == nil:
		c.report.count(func(p *Report) { _ = p.FirstByte.RecordValue(max(1, firstByte.Microseconds())) })
		return toldAnswer, 0
	case errors.Is(err, errWrong):
		c.report.count(func(p *Report) {
			if p.FirstWrong == "" {
				p.FirstWrong = err.Error()
			}
		})
		return toldWrong, 0
	}
	c.report.count(func(p *Report) { p.Cut++ })
	return toldNothing, shortestPause
}

func (c *caller) send(ctx context.Context, address netip.AddrPort, r *request) (*http.Response, error) {
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, body)
	if err != nil {
		return nil, err
	}
	// Only this caller resends, so that its tries are counted.
	request.GetBody = nil
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if r.key != "" {
		request.Header[strings.ToLower(protocol.HeaderIdempotencyKey)] = []string{r.key}
	}
	return c.client.Do(request)
}

// unanswered counts a try that got no head of an answer. Only a refused
// connection proves that nothing ran.
func (c *caller) unanswered(err error) told {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.report.count(func(p *Report) { p.Undelivered++ })
		return toldNotRun
	}
	c.report.count(func(p *Report) { p.Lost++ })
	return toldNothing
}

func (c *caller) refused(response *http.Response) (told, time.Duration) {
	var problem protocol.Problem
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err == nil {
		err = json.Unmarshal(data, &problem)
	}
	c.report.count(func(p *Report) { p.Refused[fmt.Sprintf("%d %s", response.StatusCode, problem.Step)]++ })
	if err != nil {
		return toldNothing, shortestPause
	}
	pause := max(shortestPause, min(longestPause, time.Until(problem.RetryAt)))
	switch problem.NotRun {
	case protocol.NotRunTrue:
		return toldNotRun, pause
	case protocol.NotRunFalse:
		return toldRan, pause
	}
	return toldNothing, pause
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// directory knows which routers to use: those that the system named, until
// its answer runs out, or the fixed ones.
type directory struct {
	client    *http.Client
	key       string
	bootstrap []netip.AddrPort
	fixed     bool

	mu     sync.Mutex
	answer protocol.EntryAnswer // guarded by mu
}

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
		answer, err := d.ask(ctx, address)
		if err == nil && len(answer.Routers) > 0 {
			d.answer = answer
			return answer.Routers
		}
	}
	return d.bootstrap
}

func (d *directory) ask(ctx context.Context, address netip.AddrPort) (protocol.EntryAnswer, error) {
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
		return answer, fmt.Errorf("ask %v for routers: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}
