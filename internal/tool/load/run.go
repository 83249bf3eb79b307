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
	// maxConns bounds the connections to one address.
	maxConns = 2048
	// maxBacklog bounds the requests of an open loop that are under way.
	maxBacklog = 4096
)

// Settings say what load to put where.
type Settings struct {
	// Addresses are the routers, or one stand-in for a direct load.
	Addresses []netip.AddrPort
	// Fixed keeps to the addresses; otherwise the routers are asked which to
	// use.
	Fixed bool
	// Keys are the organisations' caller keys; each caller has one of them.
	Keys []string
	Work Work
	// Callers is the number of callers of a closed loop, each of which sends
	// its next request when the last has ended.
	Callers int
	// PerSecond makes the loop open: requests come at this rate whether or
	// not others have ended, and Callers is not used.
	PerSecond float64
	// Backlog keeps this number of requests waiting: a further one begins
	// when an answer begins. Callers and PerSecond are not used.
	Backlog int
	// CutAtEnd gives up, when the context ends, on what is under way.
	CutAtEnd bool
	// Served is told of each streamed token that a caller receives; nil for
	// nobody. It may be called from several goroutines.
	Served func()
	// Requests bounds the load; zero sets no bound but the context.
	Requests int
	// Resends is how often a request is sent again.
	Resends int
	// Timeout bounds one try.
	Timeout time.Duration
	Seed    uint64
}

// Run puts the load on until the context ends or all requests are done. Every
// request that was begun is ended before Run returns; only Timeout cuts it.
func Run(ctx context.Context, settings *Settings) *Report {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxConns,
		MaxIdleConnsPerHost: maxConns,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	l := &loop{
		settings:    settings,
		client:      &http.Client{Transport: transport, Timeout: settings.Timeout},
		report:      newReport(),
		directories: make(map[string]*directory),
	}
	began := time.Now()
	switch {
	case settings.Backlog > 0:
		l.backlog(ctx)
	case settings.PerSecond > 0:
		l.open(ctx)
	default:
		l.closed(ctx)
	}
	l.report.Elapsed = time.Since(began)
	return l.report
}

type loop struct {
	settings    *Settings
	client      *http.Client
	report      *Report
	directories map[string]*directory
}

// caller returns the caller of that number.
func (l *loop) caller(number int) *caller {
	s := l.settings
	key := ""
	if len(s.Keys) > 0 {
		key = s.Keys[number%len(s.Keys)]
	}
	d := l.directories[key]
	if d == nil {
		d = &directory{client: l.client, key: key, bootstrap: s.Addresses, fixed: s.Fixed}
		l.directories[key] = d
	}
	random := rand.New(rand.NewPCG(s.Seed, uint64(number)))
	return &caller{settings: s, client: l.client, key: key, directory: d, random: random, report: l.report}
}

// closed keeps each caller busy with one request at a time.
func (l *loop) closed(ctx context.Context) {
	var group sync.WaitGroup
	tickets := newTickets(l.settings.Requests)
	for i := range l.settings.Callers {
		c := l.caller(i)
		group.Go(func() {
			for ctx.Err() == nil && tickets.take() {
				c.run(l.lifetime(ctx))
			}
		})
	}
	group.Wait()
}

// open begins requests at a fixed rate.
func (l *loop) open(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxBacklog)
	begin := time.Now()
	for i := 0; l.settings.Requests == 0 || i < l.settings.Requests; i++ {
		due := begin.Add(time.Duration(float64(i) / l.settings.PerSecond * float64(time.Second)))
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		c := l.caller(i)
		slots <- struct{}{}
		group.Go(func() {
			c.run(l.lifetime(ctx))
			<-slots
		})
	}
	group.Wait()
}

// backlog keeps a number of requests waiting.
func (l *loop) backlog(ctx context.Context) {
	var group sync.WaitGroup
	tickets := newTickets(l.settings.Requests)
	waiting := make(chan struct{}, l.settings.Backlog)
	for i := 0; ; i++ {
		select {
		case waiting <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil || !tickets.take() {
			break
		}
		c := l.caller(i)
		c.answering = sync.OnceFunc(func() { <-waiting })
		group.Go(func() {
			c.run(l.lifetime(ctx))
			c.answering()
		})
	}
	group.Wait()
}

// lifetime is the context of a request that begins now.
func (l *loop) lifetime(ctx context.Context) context.Context {
	if l.settings.CutAtEnd {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// tickets hands out a bounded number of requests; zero sets no bound.
type tickets struct {
	mu        sync.Mutex
	unbounded bool
	left      int // guarded by mu
}

func newTickets(count int) *tickets { return &tickets{unbounded: count == 0, left: count} }

func (t *tickets) take() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left--
	return t.unbounded || t.left >= 0
}
