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
	// callerDeadline is how long callers wait.
	callerDeadline = 4 * time.Second
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 30 * time.Millisecond
	// faithfulShare is the share of requests that go to the router that the
	// caller used last, whatever entry answers say, for as long as it listens.
	faithfulShare = 0.5
	// removedShare is the share of requests with a key that was removed.
	removedShare = 0.1
)

// caller sends requests one after the other.
type caller struct {
	soak   *Soak
	random *rand.Rand
	client *http.Client
	// entries is the last entry answer, and askedAt when it came.
	entries []netip.AddrPort
	askedAt time.Time
	last    int
	sent    int
	name    string
	// honest callers never use a key that was removed.
	honest bool
}

func newCaller(s *Soak, number int, seed uint64) *caller {
	return &caller{
		soak: s, random: rand.New(rand.NewPCG(seed, uint64(number)+1)), name: fmt.Sprint("c", number), last: -1,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.once(ctx)
		pause(ctx, time.Duration(c.random.ExpFloat64()*float64(callerPause)))
	}
}

// once sends one request and returns whether it was served.
func (c *caller) once(ctx context.Context) bool {
	router := c.choose(ctx)
	if router < 0 {
		return false
	}
	kind := []string{kindOnce, kindSafe, kindStream}[c.random.IntN(3)]
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	a := &ask{
		ID: id, Kind: kind, Method: http.MethodPost, Path: "/" + kind + "/x?n=" + id, Key: c.key(),
		Body: strings.Repeat(id, 1+c.random.IntN(200)), Router: router, SentAt: time.Now(),
	}
	c.soak.Ledger.sent(a)
	status, outcome := c.exchange(ctx, a)
	c.soak.Ledger.answered(a, status, outcome)
	return outcome == outcomeServed
}

func (c *caller) key() string {
	current, removed := c.soak.callerKeys()
	if !c.honest && len(removed) > 0 && c.random.Float64() < removedShare {
		return removed[c.random.IntN(len(removed))]
	}
	return current
}

// choose returns the router to call, -1 if none is known.
func (c *caller) choose(ctx context.Context) int {
	if c.last >= 0 && c.random.Float64() < faithfulShare && c.soak.routers[c.last].process.Running() {
		return c.last
	}
	if time.Since(c.askedAt) > time.Second || len(c.entries) == 0 {
		for _, i := range c.random.Perm(len(c.soak.routers)) {
			if found, err := c.resolve(ctx, c.soak.routers[i].directory); err == nil && len(found) > 0 {
				c.entries, c.askedAt = found, time.Now()
				break
			}
		}
	}
	if len(c.entries) == 0 {
		return -1
	}
	c.last = c.soak.routerAt(c.entries[c.random.IntN(len(c.entries))])
	return c.last
}

func (c *caller) resolve(ctx context.Context, directory netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.soak.options.Dialect.EntryURL(directory), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return c.soak.options.Dialect.ParseEntries(response.Body)
}

// The outcomes of requests.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeNoDial  = "not connected"
	outcomeCut     = "cut"
	outcomeLate    = "too late"
)

// exchange sends the request and judges the answer.
func (c *caller) exchange(ctx context.Context, a *ask) (status int, outcome string) {
	ctx, cancel := context.WithTimeout(ctx, callerDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+c.soak.routers[a.Router].front.String()+a.Path, strings.NewReader(a.Body))
	if err != nil {
		c.soak.Ledger.violate("soak", "%v", err)
		return 0, outcomeFailed
	}
	names := c.soak.options.Dialect.Names()
	request.Host, request.GetBody = host, nil
	request.Header.Set(names.ID, a.ID)
	request.Header.Set(names.Key, a.Key)
	request.Header.Set(names.Deadline, fmt.Sprint(callerDeadline.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, c.failed(ctx, a, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, c.failed(ctx, a, err)
	}
	return response.StatusCode, c.judge(a, response, string(data))
}

// failed names the way in which a request got no answer.
func (c *caller) failed(ctx context.Context, a *ask, err error) string {
	var refused *net.OpError
	switch {
	case errors.As(err, &refused) && refused.Op == "dial":
		return outcomeNoDial
	case ctx.Err() != nil:
		return outcomeLate
	}
	c.soak.cut(a, err)
	return outcomeCut
}

func (c *caller) judge(a *ask, response *http.Response, body string) string {
	l := c.soak.Ledger
	stamped := response.Header.Get(c.soak.options.Dialect.Names().Stamp) != ""
	switch status := response.StatusCode; {
	case status == http.StatusOK && !stamped:
		l.violate("own answer", "%s got a success that no endpoint signed", a.ID)
	case status == http.StatusOK && body != wholeAnswer(a):
		l.violate("own answer", "%s got %d bytes that are not its answer", a.ID, len(body))
	case status == http.StatusOK:
		return outcomeServed
	case status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusForbidden:
		c.soak.denied(a, status)
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
