package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"hyssopreach/internal/tool/disruption"
)

// group is what a fault disturbs, and so which promises are not checked
// meanwhile.
type group int

const (
	groupRouter group = iota
	groupStore
	groupEndpoint
	// groupStop holds what a router must bear without harm to its callers.
	groupStop
)

// fault is what one kind of fault does: it begins and it ends.
type fault struct {
	disruption.Kind
	group      group
	begin, end func(s *Soak, target int)
}

// onRouter is a fault of one router.
func onRouter(g group, name string, least, most time.Duration, begin, end func(s *Soak, r *router)) fault {
	return fault{
		Kind: disruption.Kind{Name: name, Least: least, Most: most}, group: g,
		begin: func(s *Soak, i int) { begin(s, s.routers[i]) },
		end: func(s *Soak, i int) {
			if end != nil {
				end(s, s.routers[i])
			}
		},
	}
}

func signal(v syscall.Signal) func(s *Soak, r *router) {
	return func(s *Soak, r *router) {
		if err := r.process.Signal(v); err != nil {
			s.Ledger.violate("soak", "%v", err)
		}
	}
}

func storeProxy(m disruption.Mode) func(s *Soak, r *router) {
	return func(_ *Soak, r *router) { r.store.Set(m) }
}

// faults are all kinds of them.
var faults = []fault{
	onRouter(groupRouter, "router killed", 0, 0, signal(syscall.SIGKILL), nil),
	onRouter(groupRouter, "router paused", 300*time.Millisecond, 6*time.Second, signal(syscall.SIGSTOP), signal(syscall.SIGCONT)),
	onRouter(groupRouter, "router cut from the store", time.Second, 7*time.Second, storeProxy(disruption.ModeSilent), storeProxy(disruption.ModePass)),
	onRouter(groupRouter, "store's answers lost", time.Second, 5*time.Second, storeProxy(disruption.ModeOneWay), storeProxy(disruption.ModePass)),
	onRouter(groupRouter, "store refuses the router", time.Second, 7*time.Second, storeProxy(disruption.ModeRefuse), storeProxy(disruption.ModePass)),
	onRouter(groupRouter, "connections to the store reset", 0, 0, func(_ *Soak, r *router) { r.store.Reset() }, nil),
	onRouter(groupStop, "router stopped", stopWithin, stopWithin, func(s *Soak, r *router) {
		r.mu.Lock()
		r.stopping = time.Now()
		r.mu.Unlock()
		signal(syscall.SIGTERM)(s, r)
	}, nil),
	onRouter(groupStop, "settings looked at", 0, 0, signal(syscall.SIGHUP), nil),
	{disruption.Kind{Name: "store busy", Least: time.Second, Most: 12 * time.Second}, groupStore, func(s *Soak, _ int) { s.store.set(storeBusy) }, func(s *Soak, _ int) { s.store.set(storeWell) }},
	{disruption.Kind{Name: "store slow", Least: time.Second, Most: 8 * time.Second}, groupStore, func(s *Soak, _ int) { s.store.set(storeSlow) }, func(s *Soak, _ int) { s.store.set(storeWell) }},
	{disruption.Kind{Name: "key changed as the store goes", Least: revoke + 2*time.Second, Most: revoke + 6*time.Second}, groupStore, func(s *Soak, i int) {
		changeKey(s, i)
		s.store.set(storeBusy)
	}, func(s *Soak, _ int) { s.store.set(storeWell) }},
	{disruption.Kind{Name: "endpoint crashed", Least: 500 * time.Millisecond, Most: 3 * time.Second}, groupEndpoint, func(s *Soak, i int) { s.endpoints[i].end() }, restart},
	{disruption.Kind{Name: "endpoint silent", Least: 500 * time.Millisecond, Most: 4 * time.Second}, groupEndpoint, endpointProxy(disruption.ModeSilent), endpointProxy(disruption.ModePass)},
	{disruption.Kind{Name: "endpoint's answers lost", Least: 500 * time.Millisecond, Most: 3 * time.Second}, groupEndpoint, endpointProxy(disruption.ModeOneWay), endpointProxy(disruption.ModePass)},
	{disruption.Kind{Name: "endpoint delayed", Least: time.Second, Most: 4 * time.Second}, groupEndpoint, endpointProxy(disruption.ModeDelay), endpointProxy(disruption.ModePass)},
	{disruption.Kind{Name: "connections to the endpoint reset"}, groupEndpoint, func(s *Soak, i int) { s.endpoints[i].proxy.Reset() }, nothing},
	{disruption.Kind{Name: "endpoint fails", Least: time.Second, Most: 4 * time.Second}, groupEndpoint, func(s *Soak, i int) { s.endpoints[i].setFailing(true) }, func(s *Soak, i int) { s.endpoints[i].setFailing(false) }},
	{disruption.Kind{Name: "key changed"}, groupEndpoint, changeKey, nothing},
	{disruption.Kind{Name: "endpoint leaves", Least: drainAfter + time.Second, Most: drainAfter + 3*time.Second}, groupEndpoint, leave, func(s *Soak, i int) {
		s.endpoints[i].end()
		restart(s, i)
	}},
}

func nothing(*Soak, int) {}

func endpointProxy(m disruption.Mode) func(s *Soak, i int) {
	return func(s *Soak, i int) { s.endpoints[i].proxy.Set(m) }
}

func restart(s *Soak, i int) {
	s.endpoints[i].end()
	if err := s.endpoints[i].begin(); err != nil {
		s.Ledger.violate("soak", "%v", err)
	}
	s.write(s.endpoints[i])
}

func changeKey(s *Soak, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added, removed := s.store.change()
	now := time.Now()
	s.keys[added] = keyTimes{added: now}
	s.keys[removed] = keyTimes{added: s.keys[removed].added, removed: now}
	s.current, s.removed = added, append(s.removed, removed)
}

// leave has an endpoint say that it will stop; the time counts from when the
// store has taken it.
func leave(s *Soak, i int) {
	s.endpoints[i].drain(time.Now())
	for !s.write(s.endpoints[i]) {
		time.Sleep(heartbeat / 4)
	}
	s.endpoints[i].drain(time.Now())
}

// kinds lists what may happen.
func (s *Soak) kinds() []disruption.Kind {
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

// play does what the plan says and returns when all has ended.
func (s *Soak) play(ctx context.Context, plan []disruption.Fault) {
	begun := time.Now()
	var under sync.WaitGroup
	for _, planned := range plan {
		pause(ctx, time.Until(begun.Add(planned.At)))
		if ctx.Err() != nil {
			break
		}
		if s.options.Tell != nil {
			s.options.Tell(planned.String())
		}
		under.Go(func() { s.inflict(ctx, planned) })
	}
	pause(ctx, time.Until(begun.Add(s.options.For)))
	under.Wait()
}

// inflict begins a fault and ends it after its time.
func (s *Soak) inflict(ctx context.Context, planned disruption.Fault) {
	i := slices.IndexFunc(faults, func(f fault) bool { return f.Name == planned.Kind })
	f := &faults[i]
	s.disturb(f.group, planned.Target, planned.For)
	f.begin(s, planned.Target)
	pause(ctx, planned.For)
	f.end(s, planned.Target)
	s.disturb(f.group, planned.Target, 0)
}

// disturb notes until when a fault lasts.
func (s *Soak) disturb(g group, target int, lasts time.Duration) {
	until := time.Now().Add(lasts)
	switch g {
	case groupRouter:
		r := s.routers[target]
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbed = later(r.disturbed, until)
	case groupStore:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.storeEnded = later(s.storeEnded, until)
	case groupEndpoint:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endpointsEnded = later(s.endpointsEnded, until)
	case groupStop:
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
