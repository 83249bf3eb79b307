package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/protocol/caller"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	"hyssopreach/internal/transport/execution"
)

// suspects keeps requests that crash endpoints from crashing more than two.
type suspects struct {
	driver *driver.Driver[suspect.Input, suspect.Output]
	table  *suspect.Table
	peers  *peers
	logger log.Interface
	// stopped is closed by Close.
	stopped chan struct{}
	// any is set while there is evidence, so that calls cost nothing else.
	any atomic.Bool

	mu      sync.Mutex
	lastID  uint64                              // guarded by mu
	waiting map[uint64]chan suspect.CheckResult // guarded by mu
	told    map[uint64]chan struct{}            // guarded by mu
}

func startSuspects(r *Router) *suspects {
	s := &suspects{
		table: suspect.New(r.self.ID), peers: r.peers, logger: r.options.Logger,
		waiting: map[uint64]chan suspect.CheckResult{}, told: map[uint64]chan struct{}{}, stopped: make(chan struct{}),
	}
	s.driver = driver.New(s.step, suspect.Input(suspect.Alarm{}), s.apply)
	for _, kind := range []string{"SuspectNews", "SuspectAsk", "SuspectPermit", "SuspectDone", "SuspectTaken"} {
		r.peers.Register(kind, func(from view.RouterID, _ uint64, w *wire.Message) {
			if m, ok := wire.ToSuspect(w); ok {
				s.driver.Input(suspect.Delivery{From: from, Message: m})
			}
		})
	}
	r.fleet.watch(func(v *view.Snapshot) { s.driver.Input(suspect.Change{View: v}) })
	return s
}

// Close stops the table. Nobody is told anything more.
func (s *suspects) Close() {
	close(s.stopped)
	s.driver.Close()
}

func (s *suspects) step(now time.Time, in suspect.Input) []suspect.Output {
	out := s.table.Step(now, in)
	s.any.Store(s.table.Len() > 0)
	return out
}

func (s *suspects) apply(out suspect.Output) {
	switch o := out.(type) {
	case suspect.CheckResult:
		s.mu.Lock()
		if decided, ok := s.waiting[o.ID]; ok {
			delete(s.waiting, o.ID)
			decided <- o
		}
		s.mu.Unlock()
	case suspect.BroadcastDone:
		s.mu.Lock()
		if told, ok := s.told[o.ID]; ok {
			delete(s.told, o.ID)
			close(told)
		}
		s.mu.Unlock()
	case suspect.Send:
		if m := wire.FromSuspect(o.Message); m != nil {
			s.peers.Send(o.To, m)
		}
	case suspect.Wake:
		s.driver.WakeAt(o.At)
	case suspect.Decision:
		driver.LogDecision(s.logger, o.Event, o.Fields)
	}
}

// alive tells the table that an endpoint is still the same start.
func (s *suspects) alive(id view.EndpointID, askedAt time.Time) {
	if s.any.Load() {
		s.driver.Input(suspect.EndpointAlive{Endpoint: id, ProbedAt: askedAt})
	}
}

func fingerprint(c *execution.Call) suspect.Fingerprint {
	if c.Fingerprint == 0 {
		var d xxhash.Digest
		d.Reset()
		for _, part := range []string{c.Organisation.Name, c.Service.Name, c.Method, c.Path} {
			_, _ = d.WriteString(part)
			_, _ = d.WriteString("\x00")
		}
		_, _ = d.Write(c.Body)
		c.Fingerprint = max(d.Sum64(), 1)
	}
	return suspect.Fingerprint(c.Fingerprint)
}

// Admit waits for a suspect's permit and refuses the convicted; see
// execution.Gate.
func (s *suspects) Admit(ctx context.Context, c *execution.Call) (bool, error) {
	if !s.any.Load() {
		return false, nil
	}
	decided := make(chan suspect.CheckResult, 1)
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.waiting[id] = decided
	s.mu.Unlock()
	s.driver.Input(suspect.CheckRequest{ID: id, Fingerprint: fingerprint(c), Deadline: c.Deadline})
	select {
	case j := <-decided:
		return admission(c, j)
	case <-ctx.Done():
	}
	s.driver.Input(suspect.Withdraw{ID: id})
	s.mu.Lock()
	delete(s.waiting, id)
	s.mu.Unlock()
	select {
	case j := <-decided:
		if j.Verdict == suspect.VerdictAlone {
			s.driver.Input(suspect.RunEnded{Fingerprint: fingerprint(c)})
		}
	default:
	}
	return false, ctx.Err()
}

func admission(c *execution.Call, j suspect.CheckResult) (bool, error) {
	switch j.Verdict {
	case suspect.VerdictFree:
		return false, nil
	case suspect.VerdictAlone:
		return true, nil
	case suspect.VerdictRejected:
		return false, &caller.Problem{
			Title: "The request crashes endpoints", Status: http.StatusUnprocessableEntity,
			Detail: "two endpoints failed while they ran this request; it is not run again before the stated instant",
			NotRun: caller.NotRunFalse, Step: "Admit", RequestID: c.RequestID, RetryAt: j.Until,
		}
	default:
		return false, &caller.Problem{
			Title: "The request may crash endpoints", Status: http.StatusServiceUnavailable,
			Detail: "an endpoint failed while it ran this request, and another run of it is under way",
			NotRun: caller.NotRunUnknown, Step: "Admit", RequestID: c.RequestID, RetryAt: time.Now().Add(time.Second),
		}
	}
}

// Holds asks again whether a call that was admitted freely is still free.
func (s *suspects) StillAdmitted(c *execution.Call, alone bool) bool {
	if alone || !s.any.Load() {
		return true
	}
	decided := make(chan suspect.CheckResult, 1)
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.waiting[id] = decided
	s.mu.Unlock()
	s.driver.Input(suspect.CheckRequest{ID: id, Fingerprint: fingerprint(c)})
	select {
	case j := <-decided:
		return j.Verdict == suspect.VerdictFree
	default:
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
		return false
	}
}

// tell tells all routers that an endpoint failed under a request, and waits
// until they know or can't be reached.
func (s *suspects) tell(f suspect.Fingerprint, id view.EndpointID) {
	told := make(chan struct{})
	s.mu.Lock()
	s.lastID++
	number := s.lastID
	s.told[number] = told
	s.mu.Unlock()
	s.driver.Input(suspect.EndpointFailed{ID: number, Fingerprint: f, Endpoint: id})
	select {
	case <-told:
	case <-s.stopped:
	}
}

// Over notes how a try ended. A broken answer is evidence, which the peers
// know before the caller can be told.
func (s *suspects) Done(c *execution.Call, id view.EndpointID, result schedule.Result) {
	if result == schedule.ResultBroken {
		s.tell(fingerprint(c), id)
	}
	if s.any.Load() {
		s.driver.Input(suspect.RunEnded{Fingerprint: fingerprint(c), Finished: result == schedule.ResultFinished})
	}
}
