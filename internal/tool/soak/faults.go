package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"hyssopreach/internal/tool/disruption"
)

// restoreAge is the age of the copy from which the store comes back, for each
// number of the fault's target from 1 on.
const restoreAge = 2 * time.Second

// faultGroup names the components that a fault disturbs. It determines which
// checks are suspended during the fault and for a time after it.
type faultGroup int

const (
	// groupRouter suspends checkCut, checkDenial and the check of leaving endpoints
	// for requests to this router, and excuses an exit of the router.
	groupRouter faultGroup = iota
	// groupStore suspends the same three checks for requests to all routers.
	groupStore
	// groupEndpoint suspends only checkCut, for requests to all routers.
	groupEndpoint
	// groupPlanned is for planned actions on a router, which must not harm callers.
	groupPlanned
)

// fault is one kind of fault: how it begins and how it ends.
type fault struct {
	disruption.Kind
	group      faultGroup
	begin, end func(s *Soak, target int)
}

// routerFault returns a fault whose target is a router.
func routerFault(g faultGroup, name string, minDuration, maxDuration time.Duration, begin, end func(s *Soak, r *router)) fault {
	return fault{
		Kind: disruption.Kind{Name: name, MinDuration: minDuration, MaxDuration: maxDuration}, group: g,
		begin: func(s *Soak, i int) { begin(s, s.routers[i]) },
		end: func(s *Soak, i int) {
			if end != nil {
				end(s, s.routers[i])
			}
		},
	}
}

func sendSignal(v syscall.Signal) func(s *Soak, r *router) {
	return func(s *Soak, r *router) {
		if err := r.process.Signal(v); err != nil {
			s.Checker.recordViolation("soak", "%v", err)
		}
	}
}

// killRouter kills a router and returns when its process has ended.
func killRouter(s *Soak, r *router) {
	r.killBegins()
	if err := r.process.Kill(); err != nil {
		s.Checker.recordViolation("soak", "%v", err)
	}
	r.killEnds(time.Now())
}

func (r *router) killBegins() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills++
}

// killEnds records that the process of a killed router has ended. Callers may have sent
// requests to it until then.
func (r *router) killEnds(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills--
	r.faultEnd = later(r.faultEnd, now)
}

func pauseRouter(s *Soak, r *router) {
	r.pauseBegins(time.Now())
	sendSignal(syscall.SIGSTOP)(s, r)
}

func resumeRouter(s *Soak, r *router) {
	r.pauseEnds(time.Now())
	sendSignal(syscall.SIGCONT)(s, r)
}

// pauseBegins records the beginning of a pause, unless the router is paused
// already.
func (r *router) pauseBegins(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pausedAt.IsZero() {
		r.pausedAt = now
	}
}

// pauseEnds records that the router runs again, at the end of the first of the
// pauses that overlap. One that was asked to stop meanwhile begins only now.
func (r *router) pauseEnds(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pausedAt.IsZero() && r.stopRequested.After(r.pausedAt) {
		r.stopRequested = now
	}
	r.pausedAt = time.Time{}
}

func setStoreProxy(m disruption.Mode) func(s *Soak, r *router) {
	return func(_ *Soak, r *router) { r.store.SetMode(m) }
}

// faults lists all kinds of faults.
var faults = []fault{
	routerFault(groupRouter, "router killed", 0, 0, killRouter, nil),
	routerFault(groupRouter, "router paused", 300*time.Millisecond, 6*time.Second, pauseRouter, resumeRouter),
	routerFault(groupRouter, "router cut from the store", time.Second, 7*time.Second, setStoreProxy(disruption.ModeSilent), setStoreProxy(disruption.ModePass)),
	routerFault(groupRouter, "store's answers lost", time.Second, 5*time.Second, setStoreProxy(disruption.ModeOneWay), setStoreProxy(disruption.ModePass)),
	routerFault(groupRouter, "store refuses the router", time.Second, 7*time.Second, setStoreProxy(disruption.ModeRefuse), setStoreProxy(disruption.ModePass)),
	routerFault(groupRouter, "connections to the store reset", 0, 0, func(_ *Soak, r *router) { r.store.Reset() }, nil),
	routerFault(groupPlanned, "router stopped", stopTimeout, stopTimeout, func(s *Soak, r *router) {
		r.mu.Lock()
		r.stopRequested = time.Now()
		r.mu.Unlock()
		sendSignal(syscall.SIGTERM)(s, r)
	}, nil),
	routerFault(groupPlanned, "router reloads its settings", 0, 0, sendSignal(syscall.SIGHUP), nil),
	{disruption.Kind{Name: "store busy", MinDuration: time.Second, MaxDuration: 12 * time.Second}, groupStore, func(s *Soak, _ int) { s.store.setMode(storeBusy) }, func(s *Soak, _ int) { s.store.setMode(storeHealthy) }},
	{disruption.Kind{Name: "store slow", MinDuration: time.Second, MaxDuration: 8 * time.Second}, groupStore, func(s *Soak, _ int) { s.store.setMode(storeSlow) }, func(s *Soak, _ int) { s.store.setMode(storeHealthy) }},
	{disruption.Kind{Name: "store restored from an older copy", MinDuration: 300 * time.Millisecond, MaxDuration: 3 * time.Second}, groupStore, func(s *Soak, _ int) { s.store.setMode(storeBusy) }, func(s *Soak, i int) { s.store.restore(time.Duration(i+1) * restoreAge) }},
	{disruption.Kind{Name: "key changed as the store becomes busy", MinDuration: revokeTime + 2*time.Second, MaxDuration: revokeTime + 6*time.Second}, groupStore, func(s *Soak, i int) {
		changeKey(s, i)
		s.store.setMode(storeBusy)
	}, func(s *Soak, _ int) { s.store.setMode(storeHealthy) }},
	{disruption.Kind{Name: "endpoint crashed", MinDuration: 500 * time.Millisecond, MaxDuration: 3 * time.Second}, groupEndpoint, func(s *Soak, i int) { s.endpoints[i].stopInstance() }, restartEndpoint},
	{disruption.Kind{Name: "endpoint silent", MinDuration: 500 * time.Millisecond, MaxDuration: 4 * time.Second}, groupEndpoint, setEndpointProxy(disruption.ModeSilent), setEndpointProxy(disruption.ModePass)},
	{disruption.Kind{Name: "endpoint's answers lost", MinDuration: 500 * time.Millisecond, MaxDuration: 3 * time.Second}, groupEndpoint, setEndpointProxy(disruption.ModeOneWay), setEndpointProxy(disruption.ModePass)},
	{disruption.Kind{Name: "endpoint delayed", MinDuration: time.Second, MaxDuration: 4 * time.Second}, groupEndpoint, setEndpointProxy(disruption.ModeDelay), setEndpointProxy(disruption.ModePass)},
	{disruption.Kind{Name: "connections to the endpoint reset"}, groupEndpoint, func(s *Soak, i int) { s.endpoints[i].resetLinks(time.Now()) }, noAction},
	{disruption.Kind{Name: "endpoint fails", MinDuration: time.Second, MaxDuration: 4 * time.Second}, groupEndpoint, func(s *Soak, i int) { s.endpoints[i].setFailing(true) }, func(s *Soak, i int) { s.endpoints[i].setFailing(false) }},
	{disruption.Kind{Name: "key changed"}, groupEndpoint, changeKey, noAction},
	{disruption.Kind{Name: "endpoint leaves", MinDuration: drainTime + time.Second, MaxDuration: drainTime + 3*time.Second}, groupEndpoint, announceLeaving, func(s *Soak, i int) {
		s.endpoints[i].stopInstance()
		restartEndpoint(s, i)
	}},
}

func noAction(*Soak, int) {}

func setEndpointProxy(m disruption.Mode) func(s *Soak, i int) {
	return func(s *Soak, i int) {
		e := s.endpoints[i]
		if m != disruption.ModePass {
			e.linkFaultBegins()
		}
		e.proxy.SetMode(m)
		if m == disruption.ModePass {
			e.linkFaultEnds(time.Now())
		}
	}
}

func restartEndpoint(s *Soak, i int) {
	s.endpoints[i].stopInstance()
	if err := s.endpoints[i].startInstance(); err != nil {
		s.Checker.recordViolation("soak", "%v", err)
	}
	s.publishEntry(s.endpoints[i])
}

func changeKey(s *Soak, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added, removed := s.store.replaceKey()
	now := time.Now()
	s.keys[added] = keyPeriod{added: now}
	s.keys[removed] = keyPeriod{added: s.keys[removed].added, removed: now}
	s.currentKey, s.removedKeys = added, append(s.removedKeys, removed)
}

// announceLeaving publishes that an endpoint will stop. The endpoint counts as
// leaving from the moment the store has accepted the entry; the first call of
// setLeaving only marks the entry that is published.
func announceLeaving(s *Soak, i int) {
	s.endpoints[i].setLeaving(time.Now())
	for !s.publishEntry(s.endpoints[i]) {
		time.Sleep(heartbeat / 4)
	}
	s.endpoints[i].setLeaving(time.Now())
}

// faultKinds returns the kinds of faults with the number of their targets.
// Faults of the store ignore the target.
func (s *Soak) faultKinds() []disruption.Kind {
	all := make([]disruption.Kind, len(faults))
	for i := range faults {
		all[i] = faults[i].Kind
		all[i].Targets = len(s.routers)
		if faults[i].group == groupEndpoint || faults[i].group == groupStore {
			all[i].Targets = len(s.endpoints)
		}
	}
	return all
}

// runPlan injects the planned faults and returns when all of them have ended and
// Options.Duration has passed.
func (s *Soak) runPlan(ctx context.Context, plan []disruption.Fault) {
	began := time.Now()
	var running sync.WaitGroup
	for _, planned := range plan {
		pause(ctx, time.Until(began.Add(planned.At)))
		if ctx.Err() != nil {
			break
		}
		if s.options.OnFault != nil {
			s.options.OnFault(planned.String())
		}
		running.Go(func() { s.runFault(ctx, planned) })
	}
	pause(ctx, time.Until(began.Add(s.options.Duration)))
	running.Wait()
}

// runFault begins a fault and ends it after its duration.
func (s *Soak) runFault(ctx context.Context, planned disruption.Fault) {
	i := slices.IndexFunc(faults, func(f fault) bool { return f.Name == planned.Kind })
	f := &faults[i]
	s.recordFault(f.group, planned.Target, planned.Duration)
	f.begin(s, planned.Target)
	pause(ctx, planned.Duration)
	f.end(s, planned.Target)
	s.recordFault(f.group, planned.Target, 0)
}

// recordFault records when the current fault of a component ends.
func (s *Soak) recordFault(g faultGroup, target int, duration time.Duration) {
	until := time.Now().Add(duration)
	switch g {
	case groupRouter:
		r := s.routers[target]
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faultEnd = later(r.faultEnd, until)
	case groupStore:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.storeFaultEnd = later(s.storeFaultEnd, until)
	case groupEndpoint:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endpointFaultEnd = later(s.endpointFaultEnd, until)
	case groupPlanned:
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
