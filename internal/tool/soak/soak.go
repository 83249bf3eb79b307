package soak

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hyssopreach/internal/standin/loopback"
	"hyssopreach/internal/tool/disruption"
)

// The bounds of the promises, as the settings of the routers state them.
const (
	heartbeat  = 400 * time.Millisecond
	revoke     = 5 * time.Second
	inForce    = 2 * time.Second
	drainAfter = 2 * time.Second
	stopWithin = 8 * time.Second
	// calm is how long what a bound concerns must have been left alone.
	calm = 3 * time.Second
	// firstPort is below the ports that the host gives to connections that
	// leave, one of which could else hold a router's port when it starts again.
	firstPort = 8080
	// removedKeys is how many keys that were removed are still used.
	removedKeys = 3
	// slack is for the time that this program itself takes.
	slack = 500 * time.Millisecond
	// recovery is the time after the last fault from which all are served.
	recovery = 6 * time.Second
	// recoveredAsks are sent then, of which recoveredLeast must be served.
	recoveredAsks, recoveredLeast = 150, 135
	recoveredCallers              = 6
	// retryRatio and retryExtra bound the runs of requests beyond the first.
	retryRatio, retryExtra = 0.2, 54
	retryWindow            = 10 * time.Second
	// memoryMB and descriptors are what a router may use.
	memoryMB, descriptors = 128, 1024
)

// Options say what to run.
type Options struct {
	Dialect Dialect
	Seed    uint64
	For     time.Duration
	// Interval is the mean time between two faults.
	Interval time.Duration
	// Binary is the program of the routers, and Folder a folder for their
	// settings and logs.
	Binary, Folder              string
	Routers, Endpoints, Callers int
	// Tell is called with every fault as it begins; nil for silence.
	Tell func(line string)
}

// Report is what a soak has seen.
type Report struct {
	Broken         []string
	Outcomes       map[string]int
	Requests, Runs int
	Faults         []disruption.Fault
}

// Soak is a soak under way.
type Soak struct {
	options   Options
	Ledger    *Ledger
	store     *store
	routers   []*router
	endpoints []*endpoint

	mu sync.Mutex
	// The fields below are guarded by mu.
	keys           map[string]keyTimes
	current        string
	removed        []string
	storeEnded     time.Time // when the last fault of the store ends or ended
	endpointsEnded time.Time // when the last fault of endpoints ends or ended
}

// keyTimes are when a key came into force and when it was removed.
type keyTimes struct{ added, removed time.Time }

// router is one router's process.
type router struct {
	front, directory netip.AddrPort
	store            *disruption.Proxy
	process          *disruption.Process

	mu sync.Mutex
	// The fields below are guarded by mu.
	disturbed time.Time // when its last fault ends or ended
	stopping  time.Time // when it was last asked to stop
}

// Run runs a soak and returns what it has seen. The error is for what keeps it
// from running at all.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &Soak{options: o, Ledger: newLedger(), keys: map[string]keyTimes{}}
	defer s.close()
	loading, stop := context.WithCancel(ctx)
	var working sync.WaitGroup
	defer func() {
		stop()
		working.Wait()
	}()
	if err := s.startStandins(); err != nil {
		return nil, err
	}
	working.Go(func() { s.beat(loading) })
	if err := s.startRouters(ctx); err != nil {
		return nil, err
	}
	plan := disruption.Plan(o.Seed, o.For, o.Interval, s.kinds())
	for i := range o.Callers {
		working.Go(func() { newCaller(s, i, o.Seed).run(loading) })
	}
	working.Go(func() { s.watchProcesses(loading) })
	s.play(ctx, plan)
	s.recovered(ctx)
	stop()
	working.Wait()
	r := &Report{Faults: plan}
	r.Broken, r.Outcomes, r.Requests, r.Runs = s.Ledger.Report()
	if most := float64(r.Requests)*(1+retryRatio) + retryExtra*o.For.Seconds()/retryWindow.Seconds(); float64(r.Runs) > most {
		r.Broken = append(r.Broken, fmt.Sprintf("budget: %d runs of %d requests", r.Runs, r.Requests))
	}
	return r, ctx.Err()
}

func (s *Soak) startStandins() error {
	var err error
	if s.store, err = newStore(s.options.Dialect); err != nil {
		return err
	}
	s.current = keyName(1)
	s.keys[s.current] = keyTimes{added: time.Now()}
	for i := range s.options.Endpoints {
		e, err := newEndpoint(i, s.options.Dialect, s.Ledger, s.judgeRun)
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
		s.write(e)
	}
	return nil
}

// startRouters starts the routers and waits until they serve.
func (s *Soak) startRouters(ctx context.Context) error {
	if err := s.prepareRouters(); err != nil {
		return err
	}
	for _, r := range s.routers {
		if err := r.process.Start(); err != nil {
			return err
		}
	}
	first := newCaller(s, -1, s.options.Seed)
	defer first.client.CloseIdleConnections()
	for served, end := 0, time.Now().Add(time.Minute); served < 3*len(s.routers); {
		if ctx.Err() != nil || time.Now().After(end) {
			return errors.Join(errors.New("the routers do not serve"), ctx.Err())
		}
		if first.once(ctx) {
			served++
		}
		pause(ctx, callerPause)
	}
	return nil
}

// prepareRouters writes the routers' settings.
func (s *Soak) prepareRouters() error {
	var peers []netip.AddrPort
	for i := range s.options.Routers {
		r := &router{disturbed: time.Now()}
		own, err := loopback.Address()
		if err != nil {
			return err
		}
		addresses := make([]netip.AddrPort, 4)
		for j := range addresses {
			addresses[j] = netip.AddrPortFrom(own.Addr(), firstPort+uint16(j))
		}
		if r.store, err = disruption.NewProxy(s.store.address); err != nil {
			return err
		}
		r.front, r.directory = addresses[0], addresses[1]
		peers = append(peers, addresses[2])
		s.routers = append(s.routers, r)
		path := filepath.Join(s.options.Folder, fmt.Sprintf("router-%d", i))
		data, err := s.options.Dialect.Settings(&RouterSettings{
			Name: fmt.Sprint("router-", i), FailureDomain: domain(i),
			Callers: r.front, Directory: r.directory, Peers: addresses[2], Ready: addresses[3],
			Seeds: peers[:min(len(peers), 3)], Store: r.store.Address,
			Heartbeat: heartbeat, Revoke: revoke, StopWithin: stopWithin, Window: retryWindow,
			MemoryMB: memoryMB, Descriptors: descriptors, RetryRatio: retryRatio, RetryExtra: retryExtra,
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(path+".json", data, 0o600); err != nil {
			return err
		}
		arguments, environment := s.options.Dialect.Program(path + ".json")
		r.process = disruption.NewProcess(s.options.Binary, arguments, environment, path+".log")
	}
	return nil
}

// beat has the endpoints write of themselves.
func (s *Soak) beat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range s.endpoints {
			s.write(e)
		}
		pause(ctx, heartbeat)
	}
}

func (s *Soak) write(e *endpoint) bool {
	key, value, ok := e.entry()
	return ok && s.store.write(key, value)
}

// watchProcesses starts again what has ended, as the platform does, and notes
// what ended by itself.
func (s *Soak) watchProcesses(ctx context.Context) {
	for ctx.Err() == nil {
		for i, r := range s.routers {
			if r.process.Running() {
				continue
			}
			now := time.Now()
			r.mu.Lock()
			own := now.After(r.disturbed.Add(time.Second)) && now.After(r.stopping.Add(stopWithin+time.Second))
			r.disturbed = now
			r.mu.Unlock()
			if own {
				s.Ledger.violate("process", "router %d ended by itself", i)
			}
			if err := r.process.Start(); err != nil {
				s.Ledger.violate("soak", "%v", err)
			}
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// recovered checks that everything is served again.
func (s *Soak) recovered(ctx context.Context) {
	pause(ctx, recovery)
	var asking sync.WaitGroup
	var served atomic.Int64
	for i := range recoveredCallers {
		asking.Go(func() {
			c := newCaller(s, s.options.Callers+i, s.options.Seed)
			c.honest = true
			defer c.client.CloseIdleConnections()
			for range recoveredAsks / recoveredCallers {
				if c.once(ctx) {
					served.Add(1)
				}
			}
		})
	}
	asking.Wait()
	if n := served.Load(); n < recoveredLeast && ctx.Err() == nil {
		s.Ledger.violate("recovery", "%d of %d requests are served after the last fault", n, recoveredAsks)
	}
}

// callerKeys returns the key in force and those that were removed last.
func (s *Soak) callerKeys() (current string, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.removed[max(0, len(s.removed)-removedKeys):]
}

func (s *Soak) routerAt(front netip.AddrPort) int {
	return slices.IndexFunc(s.routers, func(r *router) bool { return r.front == front })
}

// calmSince reports whether the router and its way to the store were left
// alone from some time before the instant until now.
func (s *Soak) calmSince(r *router, at time.Time) bool {
	s.mu.Lock()
	store := s.storeEnded
	s.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	from := at.Add(-calm)
	return r.disturbed.Before(from) && store.Before(from) && r.stopping.Add(stopWithin+calm).Before(at)
}

// denied judges a refusal that says that the request is not allowed.
func (s *Soak) denied(a *ask, status int) {
	s.mu.Lock()
	k := s.keys[a.Key]
	s.mu.Unlock()
	if k.removed.IsZero() && a.SentAt.After(k.added.Add(inForce+slack)) && s.calmSince(s.routers[a.Router], k.added) {
		s.Ledger.violate("configuration", "%s got status %d %v after its key was added", a.ID, status, a.SentAt.Sub(k.added))
	}
}

// judgeRun judges that an endpoint runs a request now.
func (s *Soak) judgeRun(endpoint string, draining time.Time, a *ask) {
	now := time.Now()
	s.mu.Lock()
	k := s.keys[a.Key]
	s.mu.Unlock()
	if !k.removed.IsZero() && now.After(k.removed.Add(revoke+slack)) && a.SentAt.After(k.removed.Add(revoke)) {
		s.Ledger.violate("revocation", "%s runs %v after its key was removed", a.ID, now.Sub(k.removed))
	}
	if !draining.IsZero() && now.After(draining.Add(drainAfter+slack)) && s.calmSince(s.routers[a.Router], draining) {
		s.Ledger.violate("leaving", "%s begins at %s %v after that said it leaves", a.ID, endpoint, now.Sub(draining))
	}
}

// cut judges a connection that ended before its answer: a planned stop alone
// may not be the reason.
func (s *Soak) cut(a *ask, err error) {
	r := s.routers[a.Router]
	now := time.Now()
	s.mu.Lock()
	quiet := s.endpointsEnded.Before(a.SentAt.Add(-calm)) && s.storeEnded.Before(a.SentAt.Add(-calm))
	s.mu.Unlock()
	r.mu.Lock()
	quiet = quiet && r.disturbed.Before(a.SentAt)
	stopping := now.Sub(r.stopping)
	r.mu.Unlock()
	if quiet {
		s.Ledger.violate("cut", "%s was cut by router %d, asked to stop %v ago: %v", a.ID, a.Router, stopping.Round(time.Millisecond), err)
	}
}

func (s *Soak) close() {
	for _, r := range s.routers {
		if r.process != nil {
			if err := r.process.Signal(syscall.SIGCONT); err == nil {
				_ = r.process.Kill() // It ends with this program's report.
			}
		}
		_ = r.store.Close()
	}
	for _, e := range s.endpoints {
		e.end()
		_ = e.proxy.Close()
	}
	if s.store != nil {
		_ = s.store.server.Close()
	}
}
