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

// Engine is a simulated model engine.
type Engine struct {
	settings   Settings
	handler    http.Handler
	runs       runs.Counter
	background sync.WaitGroup
	arrived    chan struct{}
	// engineCtx is cancelled by Close.
	engineCtx    context.Context
	cancelEngine context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu.

	// processCtx is the context of the simulated process. It is cancelled by a
	// crash or by Close; a restart replaces it.
	processCtx    context.Context
	cancelProcess context.CancelFunc
	server        *server.Server
	address       netip.AddrPort
	started       time.Time
	leaving       bool
	crashes       int
	queue         []*sequence
	running       []*sequence
	byRequestID   map[string]*sequence
	cache         *cache
	reports       []platform.Load
	models        []platform.LoadedModel
	lastFencing   uint64
	orderCount    uint64
}

// New returns a running engine, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		arrived:  make(chan struct{}, 1),
	}
	e.engineCtx, e.cancelEngine = context.WithCancel(context.Background())
	e.handler = e.routes()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startProcess()
	return e
}

// startProcess starts the simulated process with empty state. The caller must
// hold mu.
func (e *Engine) startProcess() {
	e.processCtx, e.cancelProcess = context.WithCancel(e.engineCtx)
	e.started = time.Now()
	e.queue, e.running = nil, nil
	e.byRequestID = make(map[string]*sequence)
	e.cache = newCache(e.settings)
	e.reports = nil
	e.models = append([]platform.LoadedModel(nil), e.settings.Models...)
	e.lastFencing = 0
	e.background.Add(1)
	go e.run(e.processCtx)
}

// Start serves the engine on the address. Port zero selects a free port.
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

// Address returns the address on which the engine listens after Start, also
// while the engine is down.
func (e *Engine) Address() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Close ends all requests and waits until the background goroutines and the
// handlers of the current HTTP server have returned.
func (e *Engine) Close() error {
	e.cancelEngine()
	e.background.Wait()
	e.mu.Lock()
	s := e.server
	e.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}

// Crash closes every connection and stops listening, as a process that dies
// does. The engine restarts after Settings.RestartAfter, unless that is zero.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.processCtx.Err() != nil {
		return
	}
	e.crashes++
	e.cancelProcess()
	if e.server != nil {
		e.server.Crash()
	}
	if e.settings.RestartAfter > 0 && e.engineCtx.Err() == nil {
		e.background.Add(1)
		go e.restart(e.settings.RestartAfter)
	}
}

// restart calls Restart after the given time, and again after the same time
// whenever it fails.
func (e *Engine) restart(after time.Duration) {
	defer e.background.Done()
	for sleepUntil(e.engineCtx, time.Now().Add(after)) {
		if e.Restart() == nil {
			return
		}
	}
}

// Restart restarts a crashed engine with empty state on the same address. It
// does nothing if the engine is running or closed.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.engineCtx.Err() != nil || e.processCtx.Err() == nil {
		return nil
	}
	if e.server != nil {
		s, err := server.Start(e.address, e)
		if err != nil {
			return err
		}
		e.server = s
	}
	e.startProcess()
	return nil
}

// SetLeaving sets whether the engine reports that it is about to stop. The
// engine continues to serve requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Leaving returns the value that SetLeaving has set.
func (e *Engine) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Runs returns the counts of the requests that the engine has run, including
// those before its restarts.
func (e *Engine) Runs() runs.Summary { return e.runs.Summary() }

// RequestCounts returns the current numbers of running and queued requests,
// without the lag of the load report.
func (e *Engine) RequestCounts() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.queue)
}

// instance returns the engine's report on its identity and state. The caller
// must hold mu.
func (e *Engine) instance() platform.Instance {
	return platform.Instance{Name: e.settings.Name, Started: e.started, Leaving: e.leaving}
}

// recordLoad stores a report of the current load, which readers see after
// LoadLag, unless the last report is less than an eighth of LoadLag old. The
// caller must hold mu.
func (e *Engine) recordLoad(now time.Time) {
	const reportsPerLag = 8
	lag := e.settings.LoadLag
	last := len(e.reports) - 1
	if last >= 0 && now.Sub(e.reports[last].MeasuredAt) < lag/reportsPerLag {
		return
	}
	tokensInMemory := 0
	for _, s := range e.running {
		tokensInMemory += s.prompt.tokens + s.generated
	}
	report := platform.Load{
		Instance:    e.instance(),
		MeasuredAt:  now,
		Running:     len(e.running),
		Queued:      len(e.queue),
		Models:      e.models,
		LastFencing: e.lastFencing,
	}
	if e.settings.CacheTokens > 0 {
		report.MemoryUsed = min(1, float64(tokensInMemory)/float64(e.settings.CacheTokens))
	}
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && !e.reports[1].MeasuredAt.After(now.Add(-lag)) {
		e.reports = e.reports[1:]
	}
}

// laggedLoad returns the load as it was LoadLag before now, or the oldest
// recorded one if none is that old. The instance data in it is current.
func (e *Engine) laggedLoad(now time.Time) platform.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(now)
	limit := now.Add(-e.settings.LoadLag)
	visible := e.reports[0]
	for _, r := range e.reports {
		if !r.MeasuredAt.After(limit) {
			visible = r
		}
	}
	visible.Instance = e.instance()
	return visible
}
