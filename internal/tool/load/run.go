package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// maxIdleConns bounds the number of idle connections that are kept open.
	maxIdleConns = 2048
	// maxInFlight bounds the number of requests in flight of an open loop.
	maxInFlight = 4096
)

// Settings describes a load and the addresses that receive it.
type Settings struct {
	// Addresses are those of the routers, or that of one simulated endpoint for
	// a direct load.
	Addresses []netip.AddrPort
	// Fixed restricts the load to Addresses. Otherwise the routers at Addresses
	// are queried for the routers to use.
	Fixed bool
	// Keys are the caller keys of the organisations. Each caller uses one of
	// them.
	Keys       []string
	RequestMix RequestMix
	// Callers is the number of callers of a closed loop, in which each caller
	// sends its next request when its last one has ended.
	Callers int
	// PerSecond, if positive, selects an open loop, in which requests are
	// started at this rate regardless of those in flight, unless maxInFlight of
	// them are. Callers is not used.
	PerSecond float64
	// Backlog, if positive, is the number of requests that are kept waiting for
	// their answers. Whenever an answer starts, or a request ends without one, a
	// further request is sent. Callers and PerSecond are not used.
	Backlog int
	// CancelAtEnd cancels the requests in flight when the context ends.
	CancelAtEnd bool
	// OnToken is called for each streamed token that a caller receives, unless
	// it is nil. It may be called from several goroutines.
	OnToken func()
	// Requests bounds the number of requests. Zero means no bound.
	Requests int
	// Resends is the largest number of times that a request is sent again.
	Resends int
	// Timeout bounds the duration of one try.
	Timeout time.Duration
	// Seed seeds the random content of the requests.
	Seed uint64
}

// Run generates the load until the context ends or all requests have ended, and
// returns the report. Run returns only after every request that was started has
// ended. Unless CancelAtEnd is set, only Timeout cuts off a request in flight.
func Run(ctx context.Context, settings *Settings) *Report {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	g := &generator{
		settings:    settings,
		client:      &http.Client{Transport: transport, Timeout: settings.Timeout},
		report:      newReport(),
		directories: make(map[string]*directory),
	}
	began := time.Now()
	switch {
	case settings.Backlog > 0:
		g.runBacklog(ctx)
	case settings.PerSecond > 0:
		g.runOpenLoop(ctx)
	default:
		g.runClosedLoop(ctx)
	}
	g.report.Elapsed = time.Since(began)
	return g.report
}

// generator sends the load of one Run.
type generator struct {
	settings    *Settings
	client      *http.Client
	report      *Report
	directories map[string]*directory
}

// caller returns the caller with the given number.
func (g *generator) caller(number int) *caller {
	s := g.settings
	key := ""
	if len(s.Keys) > 0 {
		key = s.Keys[number%len(s.Keys)]
	}
	d := g.directories[key]
	if d == nil {
		d = &directory{client: g.client, key: key, bootstrap: s.Addresses, fixed: s.Fixed}
		g.directories[key] = d
	}
	random := rand.New(rand.NewPCG(s.Seed, uint64(number)))
	return &caller{settings: s, client: g.client, key: key, directory: d, random: random, report: g.report}
}

// runClosedLoop lets each caller send one request after another.
func (g *generator) runClosedLoop(ctx context.Context) {
	var group sync.WaitGroup
	requestQuota := newQuota(g.settings.Requests)
	for i := range g.settings.Callers {
		c := g.caller(i)
		group.Go(func() {
			for ctx.Err() == nil && requestQuota.take() {
				c.run(g.requestContext(ctx))
			}
		})
	}
	group.Wait()
}

// runOpenLoop starts requests at a fixed rate.
func (g *generator) runOpenLoop(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	begin := time.Now()
	for i := 0; g.settings.Requests == 0 || i < g.settings.Requests; i++ {
		due := begin.Add(time.Duration(float64(i) / g.settings.PerSecond * float64(time.Second)))
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		c := g.caller(i)
		slots <- struct{}{}
		group.Go(func() {
			c.run(g.requestContext(ctx))
			<-slots
		})
	}
	group.Wait()
}

// runBacklog keeps the number of requests that wait for their answers constant.
func (g *generator) runBacklog(ctx context.Context) {
	var group sync.WaitGroup
	requestQuota := newQuota(g.settings.Requests)
	waitingSlots := make(chan struct{}, g.settings.Backlog)
	for i := 0; ; i++ {
		select {
		case waitingSlots <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil || !requestQuota.take() {
			break
		}
		c := g.caller(i)
		c.onAnswerStart = sync.OnceFunc(func() { <-waitingSlots })
		group.Go(func() {
			c.run(g.requestContext(ctx))
			c.onAnswerStart()
		})
	}
	group.Wait()
}

// requestContext returns the context of a request that starts now. It ends with
// ctx only if CancelAtEnd is set.
func (g *generator) requestContext(ctx context.Context) context.Context {
	if g.settings.CancelAtEnd {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// quota limits the number of requests that the callers start together.
type quota struct {
	mu        sync.Mutex
	unbounded bool
	remaining int // guarded by mu
}

// newQuota returns a quota of count requests. Zero means no limit.
func newQuota(count int) *quota { return &quota{unbounded: count == 0, remaining: count} }

// take reports whether a further request may be started, and counts it.
func (q *quota) take() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remaining--
	return q.unbounded || q.remaining >= 0
}
