package engine

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/runs"
	"hyssopreach/internal/standin/server"
)

// Engine is a model engine.
type Engine struct {
	settings   Settings
	handler    http.Handler
	runs       runs.Counter
	background sync.WaitGroup
	arrived    chan struct{}
	// closed ends with Close.
	closed context.Context
	end    context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu.

	// life ends with a crash or with Close.
	life       context.Context
	endLife    context.CancelFunc
	server     *server.Server
	address    netip.AddrPort
	started    time.Time
	leaving    bool
	crashes    int
	queue      []*sequence
	running    []*sequence
	bySequence map[string]*sequence
	cache      *cache
	reports    []platform.Load
	models     []platform.LoadedModel
	fencing    uint64
	orders     uint64
}

// New returns a running engine, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		arrived:  make(chan struct{}, 1),
	}
	e.closed, e.end = context.WithCancel(context.Background())
	e.handler = e.routes()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begin()
	return e
}

// begin starts a life with empty state; mu is held.
func (e *Engine) begin() {
	e.life, e.endLife = context.WithCancel(e.closed)
	e.started = time.Now()
	e.queue, e.running = nil, nil
	e.bySequence = make(map[string]*sequence)
	e.cache = newCache(e.settings)
	e.reports = nil
	e.models = append([]platform.LoadedModel(nil), e.settings.Models...)
	e.fencing = 0
	e.background.Add(1)
	go e.run(e.life)
}

// Start serves the engine on the address.
func (e *Engine) Start(address netip.AddrPort) error {
	s, err := server.Start(address, e)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server, e.address = s, s.Address()
	return nil
}

// Address is where the engine listens after Start, also while it is down.
func (e *Engine) Address() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Close ends all requests and waits.
func (e *Engine) Close() error {
	e.end()
	e.background.Wait()
	e.mu.Lock()
	s := e.server
	e.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}

// Crash ends every connection and stops listening, as a dying process does.
// The engine starts again after RestartAfter, if that is set.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.Err() != nil {
		return
	}
	e.crashes++
	e.endLife()
	if e.server != nil {
		e.server.Crash()
	}
	if e.settings.RestartAfter > 0 && e.closed.Err() == nil {
		e.background.Add(1)
		go e.restart(e.settings.RestartAfter)
	}
}

func (e *Engine) restart(after time.Duration) {
	defer e.background.Done()
	for sleepUntil(e.closed, time.Now().Add(after)) {
		if e.Restart() == nil {
			return
		}
	}
}

// Restart starts a crashed engine with empty state on its old address.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed.Err() != nil || e.life.Err() == nil {
		return nil
	}
	if e.server != nil {
		s, err := server.Start(e.address, e)
		if err != nil {
			return err
		}
		e.server = s
	}
	e.begin()
	return nil
}

// SetLeaving tells the engine that it will stop; it only says so to those who
// ask and goes on serving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Leaving tells whether the engine says that it will stop.
func (e *Engine) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Crashes is the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Runs tells what the engine has run, over all its lives.
func (e *Engine) Runs() runs.Summary { return e.runs.Summary() }

// Busy returns the number of requests that run and that wait, without lag.
func (e *Engine) Busy() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.queue)
}

// instance is what the engine says of itself; mu is held.
func (e *Engine) instance() platform.Instance {
	return platform.Instance{Name: e.settings.Name, Started: e.started, Leaving: e.leaving}
}

// record keeps a load report for readers, who see it after the lag; mu is
// held.
func (e *Engine) record(now time.Time) {
	const reportsPerLag = 8
	lag := e.settings.LoadLag
	last := len(e.reports) - 1
	if last >= 0 && now.Sub(e.reports[last].MeasuredAt) < lag/reportsPerLag {
		return
	}
	held := 0
	for _, s := range e.running {
		held += s.prompt.tokens + s.generated
	}
	report := platform.Load{
		Instance:    e.instance(),
		MeasuredAt:  now,
		Running:     len(e.running),
		Queued:      len(e.queue),
		Models:      e.models,
		LastFencing: e.fencing,
	}
	if e.settings.CacheTokens > 0 {
		report.MemoryUsed = min(1, float64(held)/float64(e.settings.CacheTokens))
	}
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && !e.reports[1].MeasuredAt.After(now.Add(-lag)) {
		e.reports = e.reports[1:]
	}
}

// report returns the load as it was a lag ago.
func (e *Engine) report(now time.Time) platform.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(now)
	limit := now.Add(-e.settings.LoadLag)
	shown := e.reports[0]
	for _, r := range e.reports {
		if !r.MeasuredAt.After(limit) {
			shown = r
		}
	}
	shown.Instance = e.instance()
	return shown
}
