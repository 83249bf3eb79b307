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

// Settings of the routers, bounds of the guarantees and parameters of the checks.
const (
	// heartbeat is the heartbeat interval of the routers and the endpoints.
	heartbeat = 400 * time.Millisecond
	// revokeTime is the time after the removal of a key from which requests with
	// the key no longer run.
	revokeTime = 5 * time.Second
	// inForceTime is the time after the addition of a key from which requests
	// with the key are allowed.
	inForceTime = 2 * time.Second
	// drainTime is the time after which a leaving endpoint gets no more requests.
	drainTime = 2 * time.Second
	// stopTimeout is how long a planned stop of a router may take.
	stopTimeout = 8 * time.Second
	// quietPeriod is how long the components that a bound concerns must have
	// been free of faults before the bound is checked.
	quietPeriod = 3 * time.Second
	// firstPort is below the host's ephemeral ports. An outgoing connection
	// could otherwise hold a router's port when the router restarts.
	firstPort = 8080
	// maxRemovedKeys is how many of the last removed keys callers still use.
	maxRemovedKeys = 3
	// toolSlack is added to bounds for the time that this program itself takes.
	toolSlack = 500 * time.Millisecond
	// recoveryTime is how long the routers may take to recover after the last
	// fault.
	recoveryTime = 6 * time.Second
	// recoveryRequests are sent after recoveryTime, of which at least
	// minRecovered must be served.
	recoveryRequests, minRecovered = 150, 135
	recoveryCallers                = 6
	// retryRatio is the number of retries allowed for each request, and
	// retryExtra the number of further retries allowed in each retryWindow.
	retryRatio, retryExtra = 0.2, 54
	retryWindow            = 10 * time.Second
	// memoryMB and descriptors limit the memory and the file descriptors of a
	// router.
	memoryMB, descriptors = 128, 1024
)

// Options configures a soak.
type Options struct {
	Dialect Dialect
	Seed    uint64
	// Duration is the time during which faults begin.
	Duration time.Duration
	// Interval is the mean time between two faults.
	Interval time.Duration
	// Binary is the program of the routers, and Directory the directory of their
	// settings and logs.
	Binary, Directory           string
	Routers, Endpoints, Callers int
	// Crashing is the number of callers that send one request each, again and
	// again, which crashes the endpoints that run it.
	Crashing int
	// CrashingParts is the number of callers that send ever new requests whose
	// prompts share a part, which crashes the endpoints that run them.
	CrashingParts int
	// OnFault is called with the description of each fault as it begins; it may
	// be nil.
	OnFault func(line string)
}

// Report is the result of a soak.
type Report struct {
	// Violations describes the violated guarantees.
	Violations []string
	// Outcomes counts requests by kind and outcome, such as "once served".
	Outcomes       map[string]int
	Requests, Runs int
	// Crashes is the number of endpoints that requests have crashed.
	Crashes int
	Faults  []disruption.Fault
}

// Soak is the state of a running soak.
type Soak struct {
	options   Options
	Checker   *Checker
	store     *store
	routers   []*router
	endpoints []*endpoint

	mu sync.Mutex
	// The fields below are guarded by mu.
	keys             map[string]keyPeriod // all keys of the callers' organisation so far
	currentKey       string
	removedKeys      []string
	storeFaultEnd    time.Time           // when the last fault of the store ends or ended
	endpointFaultEnd time.Time           // when the last fault of an endpoint ends or ended
	crashes          map[string]*crashes // by sentRequest.Cause
	closed           bool
	// leavingAnswers holds when a router first passed on an answer in which an
	// endpoint states that it leaves.
	leavingAnswers map[statement]time.Time
}

// keyPeriod holds when a key of the callers' organisation was added to the
// configuration and when it was removed.
type keyPeriod struct{ added, removed time.Time }

// router is the process of one router. callerAddress is its address for requests,
// and directoryAddress the one at which callers look up the routers to use.
type router struct {
	callerAddress, directoryAddress netip.AddrPort
	store                           *disruption.Proxy
	process                         *disruption.Process

	mu sync.Mutex
	// The fields below are guarded by mu.
	faultEnd      time.Time // when the last fault of the router ends or ended
	startedAt     time.Time // when the process was last started again
	stopRequested time.Time // when the router was last asked to stop
	pausedAt      time.Time // when the router was paused; zero while it is not
	kills         int       // how many times the router is being killed
}

// Run runs a soak and returns its report. Violated guarantees are in the report;
// an error means that the soak could not run.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &Soak{options: o, Checker: newChecker(), keys: map[string]keyPeriod{}, crashes: map[string]*crashes{}, leavingAnswers: map[statement]time.Time{}}
	defer s.close()
	loadCtx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer func() {
		stop()
		workers.Wait()
	}()
	if err := s.startStandins(); err != nil {
		return nil, err
	}
	workers.Go(func() { s.publishEntries(loadCtx) })
	if err := s.startRouters(ctx); err != nil {
		return nil, err
	}
	plan := disruption.Plan(o.Seed, o.Duration, o.Interval, s.faultKinds())
	for i := range o.Callers {
		workers.Go(func() { newCaller(s, i, o.Seed).run(loadCtx) })
	}
	for i := range o.Crashing {
		workers.Go(func() { newCaller(s, firstCrashingCaller+i, o.Seed).runCrashing(loadCtx) })
	}
	for i := range o.CrashingParts {
		workers.Go(func() { newCaller(s, firstCrashingPartCaller+i, o.Seed).runCrashingPart(loadCtx) })
	}
	workers.Go(func() { s.superviseProcesses(loadCtx) })
	s.runPlan(ctx, plan)
	s.checkRecovery(ctx)
	stop()
	workers.Wait()
	r := &Report{Faults: plan}
	r.Violations, r.Outcomes, r.Requests, r.Runs = s.Checker.Report()
	r.Crashes = s.crashCount()
	if maxRuns := float64(r.Requests)*(1+retryRatio) + retryExtra*o.Duration.Seconds()/retryWindow.Seconds(); float64(r.Runs) > maxRuns {
		r.Violations = append(r.Violations, fmt.Sprintf("budget: %d runs of %d requests", r.Runs, r.Requests))
	}
	return r, ctx.Err()
}

func (s *Soak) startStandins() error {
	var err error
	if s.store, err = newStore(s.options.Dialect); err != nil {
		return err
	}
	s.currentKey = keyName(1)
	s.keys[s.currentKey] = keyPeriod{added: time.Now()}
	for i := range s.options.Endpoints {
		e, err := newEndpoint(i, s)
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
		s.publishEntry(e)
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
			return errors.Join(errors.New("routers did not serve the first requests in time"), ctx.Err())
		}
		if first.sendOne(ctx) {
			served++
		}
		pause(ctx, callerPause)
	}
	return nil
}

// prepareRouters chooses the routers' addresses and writes their settings.
func (s *Soak) prepareRouters() error {
	var peers []netip.AddrPort
	for i := range s.options.Routers {
		r := &router{faultEnd: time.Now()}
		own, err := loopback.FreeAddress()
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
		r.callerAddress, r.directoryAddress = addresses[0], addresses[1]
		peers = append(peers, addresses[2])
		s.routers = append(s.routers, r)
		path := filepath.Join(s.options.Directory, fmt.Sprintf("router-%d", i))
		data, err := s.options.Dialect.Settings(&RouterSettings{
			Name: fmt.Sprint("router-", i), FailureDomain: failureDomain(i),
			Callers: r.callerAddress, Directory: r.directoryAddress, Peers: addresses[2], Ready: addresses[3],
			Seeds: peers[:min(len(peers), 3)], Store: r.store.Address,
			Heartbeat: heartbeat, RevokeTime: revokeTime, DrainTime: drainTime, StopTimeout: stopTimeout, RetryWindow: retryWindow,
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

// publishEntries writes the entries of the endpoints to the store at each
// heartbeat.
func (s *Soak) publishEntries(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range s.endpoints {
			s.publishEntry(e)
		}
		pause(ctx, heartbeat)
	}
}

func (s *Soak) publishEntry(e *endpoint) bool {
	key, value, ok := e.entry()
	return ok && s.store.write(key, value)
}

// superviseProcesses restarts routers that have exited, as the platform does,
// and reports those that exited without a fault or a request to stop.
func (s *Soak) superviseProcesses(ctx context.Context) {
	for ctx.Err() == nil {
		for i, r := range s.routers {
			if r.process.Running() {
				continue
			}
			now := time.Now()
			r.mu.Lock()
			unexpected := now.After(r.faultEnd.Add(time.Second)) && now.After(r.stopRequested.Add(stopTimeout+time.Second))
			r.faultEnd, r.startedAt = now, now
			r.mu.Unlock()
			if unexpected {
				s.Checker.recordViolation("process", "router %d exited without a fault or a request to stop", i)
			}
			if err := r.process.Start(); err != nil {
				s.Checker.recordViolation("soak", "%v", err)
			}
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// checkRecovery checks that requests are served again after the last fault.
func (s *Soak) checkRecovery(ctx context.Context) {
	pause(ctx, recoveryTime)
	var sending sync.WaitGroup
	var served atomic.Int64
	for i := range recoveryCallers {
		sending.Go(func() {
			c := newCaller(s, s.options.Callers+i, s.options.Seed)
			c.currentKeyOnly = true
			defer c.client.CloseIdleConnections()
			for range recoveryRequests / recoveryCallers {
				if c.sendOne(ctx) {
					served.Add(1)
				}
			}
		})
	}
	sending.Wait()
	if n := served.Load(); n < minRecovered && ctx.Err() == nil {
		s.Checker.recordViolation("recovery", "%d of %d requests were served after the last fault", n, recoveryRequests)
	}
}

// callerKeys returns the current key and the keys that were removed last.
func (s *Soak) callerKeys() (current string, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentKey, s.removedKeys[max(0, len(s.removedKeys)-maxRemovedKeys):]
}

func (s *Soak) routerIndex(callerAddress netip.AddrPort) int {
	return slices.IndexFunc(s.routers, func(r *router) bool { return r.callerAddress == callerAddress })
}

// undisturbedSince reports whether the router and the store have been free of
// faults and planned stops since quietPeriod before the instant.
func (s *Soak) undisturbedSince(r *router, at time.Time) bool {
	s.mu.Lock()
	store := s.storeFaultEnd
	s.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	from := at.Add(-quietPeriod)
	return r.faultEnd.Before(from) && store.Before(from) && r.stopRequested.Add(stopTimeout+quietPeriod).Before(at)
}

// checkDenial checks an answer that denies access: it is a violation if the
// request's key has been in the configuration for longer than inForceTime.
func (s *Soak) checkDenial(req *sentRequest, status int) {
	s.mu.Lock()
	k := s.keys[req.Key]
	s.mu.Unlock()
	if k.removed.IsZero() && req.SentAt.After(k.added.Add(inForceTime+toolSlack)) && s.undisturbedSince(s.routers[req.Router], k.added) {
		s.Checker.recordViolation("configuration", "%s got status %d %v after its key was added", req.ID, status, req.SentAt.Sub(k.added))
	}
}

// checkRun checks a run that begins now at an endpoint. It is a violation if the
// request's key was removed, or the endpoint announced that it leaves, longer ago
// than the bound allows. The latter bound is on the sending, so it can't be judged if
// the request may have been held up on its way.
func (s *Soak) checkRun(e *endpoint, instance string, leavingSince time.Time, req *sentRequest) {
	now := time.Now()
	s.mu.Lock()
	k := s.keys[req.Key]
	s.mu.Unlock()
	if !k.removed.IsZero() && now.After(k.removed.Add(revokeTime+toolSlack)) && req.SentAt.After(k.removed.Add(revokeTime)) {
		s.Checker.recordViolation("revocation", "%s began to run %v after its key was removed", req.ID, now.Sub(k.removed))
	}
	if req.Cause != "" {
		s.checkCrashingRun(now, req)
	}
	s.checkLeavingAnswer(instance, req)
	if !leavingSince.IsZero() && now.After(leavingSince.Add(drainTime+toolSlack)) && s.undisturbedSince(s.routers[req.Router], leavingSince) &&
		!e.linkDisturbedSince(leavingSince) {
		s.Checker.recordViolation("leaving", "%s began to run at endpoint %s %v after the endpoint announced that it leaves", req.ID, instance, now.Sub(leavingSince))
	}
}

// checkCut checks a connection that broke before its answer was complete. It is
// a violation unless a fault explains it; a planned stop of the router doesn't.
func (s *Soak) checkCut(req *sentRequest, err error) {
	r := s.routers[req.Router]
	now := time.Now()
	s.mu.Lock()
	undisturbed := s.endpointFaultEnd.Before(req.SentAt.Add(-quietPeriod)) && s.storeFaultEnd.Before(req.SentAt.Add(-quietPeriod))
	s.mu.Unlock()
	r.mu.Lock()
	undisturbed = undisturbed && r.kills == 0 && r.faultEnd.Before(req.SentAt)
	sinceStopRequest := now.Sub(r.stopRequested)
	r.mu.Unlock()
	if undisturbed {
		s.Checker.recordViolation("cut", "connection of %s was cut by router %d, last asked to stop %v ago: %v", req.ID, req.Router, sinceStopRequest.Round(time.Millisecond), err)
	}
}

func (s *Soak) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, r := range s.routers {
		if r.process != nil {
			if err := r.process.Signal(syscall.SIGCONT); err == nil {
				_ = r.process.Kill() // The soak is over; a failure has no effect on its report.
			}
		}
		_ = r.store.Close()
	}
	for _, e := range s.endpoints {
		e.stopInstance()
		_ = e.proxy.Close()
	}
	if s.store != nil {
		_ = s.store.server.Close()
	}
}
