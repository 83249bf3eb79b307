package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/protocol/caller"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	"hyssopreach/internal/transport/execution"
)

// suspects prevents a request that crashes endpoints from crashing more than
// two. It runs the state machine of package coordination/suspect.
type suspects struct {
	driver *driver.Driver[suspect.Input, suspect.Output]
	table  *suspect.Table
	peers  *peers
	logger log.Interface
	// stopped is closed by Close.
	stopped chan struct{}
	// hasEvidence is set while the table holds evidence. While it is not set,
	// calls skip the table.
	hasEvidence atomic.Bool

	mu      sync.Mutex
	lastID  uint64                              // guarded by mu
	waiting map[uint64]chan suspect.CheckResult // guarded by mu
	reports map[uint64]chan struct{}            // guarded by mu
}

func startSuspects(r *Router) *suspects {
	s := &suspects{
		table: suspect.New(r.self.ID), peers: r.peers, logger: r.options.Logger,
		waiting: map[uint64]chan suspect.CheckResult{}, reports: map[uint64]chan struct{}{}, stopped: make(chan struct{}),
	}
	s.driver = driver.New(s.step, suspect.Input(suspect.Alarm{}), s.apply)
	for _, kind := range []string{"SuspectNews", "SuspectAsk", "SuspectPermit", "SuspectDone", "SuspectTaken"} {
		r.peers.Register(kind, func(from view.RouterID, _ uint64, w *wire.Message) {
			if m, ok := wire.ToSuspectMessage(w); ok {
				s.driver.Input(suspect.Delivery{From: from, Message: m})
			}
		})
	}
	r.fleet.watch(func(v *view.Snapshot) { s.driver.Input(suspect.Change{View: v}) })
	return s
}

// Close stops the table and releases the goroutines that wait in reportFailure.
func (s *suspects) Close() {
	close(s.stopped)
	s.driver.Close()
}

// step passes one input to the table and updates hasEvidence.
func (s *suspects) step(now time.Time, in suspect.Input) []suspect.Output {
	out := s.table.Step(now, in)
	s.hasEvidence.Store(s.table.Len() > 0)
	return out
}

func (s *suspects) apply(out suspect.Output) {
	switch o := out.(type) {
	case suspect.CheckResult:
		s.mu.Lock()
		if verdict, ok := s.waiting[o.ID]; ok {
			delete(s.waiting, o.ID)
			verdict <- o
		}
		s.mu.Unlock()
	case suspect.BroadcastDone:
		s.mu.Lock()
		if done, ok := s.reports[o.ID]; ok {
			delete(s.reports, o.ID)
			close(done)
		}
		s.mu.Unlock()
	case suspect.Send:
		if m := wire.FromSuspectMessage(o.Message); m != nil {
			s.peers.Send(o.To, m)
		}
	case suspect.Wake:
		s.driver.WakeAt(o.At)
	case suspect.Decision:
		driver.LogDecision(s.logger, o.Event, o.Fields)
	}
}

// reportAlive reports to the table that the endpoint has not restarted, as shown
// by its answer to a query sent at sentAt.
func (s *suspects) reportAlive(id view.EndpointID, sentAt time.Time) {
	if s.hasEvidence.Load() {
		s.driver.Input(suspect.EndpointAlive{Endpoint: id, ProbedAt: sentAt})
	}
}

func fingerprint(c *execution.Call) suspect.Fingerprint { return suspect.Fingerprint(c.Fingerprint()) }

// Admit implements execution.Gate. It waits for the permit of a suspect request
// and refuses requests that crashed two endpoints.
func (s *suspects) Admit(ctx context.Context, c *execution.Call) (bool, error) {
	if !s.hasEvidence.Load() {
		return false, nil
	}
	verdict := make(chan suspect.CheckResult, 1)
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.waiting[id] = verdict
	s.mu.Unlock()
	s.driver.Input(suspect.CheckRequest{ID: id, Fingerprint: fingerprint(c), Deadline: c.Deadline})
	select {
	case j := <-verdict:
		return admissionResult(c, j)
	case <-ctx.Done():
	}
	s.driver.Input(suspect.Withdraw{ID: id})
	s.mu.Lock()
	delete(s.waiting, id)
	s.mu.Unlock()
	// The verdict may have arrived before the withdrawal. A permit is then
	// released, because the request does not run.
	select {
	case j := <-verdict:
		if j.Verdict == suspect.VerdictExclusive {
			s.driver.Input(suspect.RunEnded{Fingerprint: fingerprint(c)})
		}
	default:
	}
	return false, ctx.Err()
}

// admissionResult converts a verdict into the results of Admit.
func admissionResult(c *execution.Call, j suspect.CheckResult) (bool, error) {
	switch j.Verdict {
	case suspect.VerdictFree:
		return false, nil
	case suspect.VerdictExclusive:
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

// StillAdmitted implements execution.Gate. It checks again that a call that was
// admitted without restriction has not become a suspect since.
func (s *suspects) StillAdmitted(c *execution.Call, exclusive bool) bool {
	if exclusive || !s.hasEvidence.Load() {
		return true
	}
	verdict := make(chan suspect.CheckResult, 1)
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.waiting[id] = verdict
	s.mu.Unlock()
	s.driver.Input(suspect.CheckRequest{ID: id, Fingerprint: fingerprint(c)})
	select {
	case j := <-verdict:
		return j.Verdict == suspect.VerdictFree
	default:
		// The table decides a check without a deadline at once, so the verdict is
		// missing only if the table has been closed.
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
		return false
	}
}

// reportFailure reports to all routers that an endpoint failed while it ran a
// request, and waits until each of them has received the report or cannot be
// reached.
func (s *suspects) reportFailure(f suspect.Fingerprint, id view.EndpointID) {
	done := make(chan struct{})
	s.mu.Lock()
	s.lastID++
	reportID := s.lastID
	s.reports[reportID] = done
	s.mu.Unlock()
	s.driver.Input(suspect.EndpointFailed{ID: reportID, Fingerprint: f, Endpoint: id})
	select {
	case <-done:
	case <-s.stopped:
	}
}

// Done implements execution.Gate. A broken answer is evidence against the
// request, which the peers receive before the caller gets its answer and can
// resend the request.
func (s *suspects) Done(c *execution.Call, id view.EndpointID, result schedule.Result) {
	if result == schedule.ResultBroken {
		s.reportFailure(fingerprint(c), id)
	}
	if s.hasEvidence.Load() {
		s.driver.Input(suspect.RunEnded{Fingerprint: fingerprint(c), Finished: result == schedule.ResultFinished})
	}
}
