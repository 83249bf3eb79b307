package router

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/protocol/caller"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	"hyssopreach/internal/transport/execution"
)

const (
	// isolatedEvidenceTimeout and evidenceTimeout bound the time for which a failure
	// that is evidence against a request is withheld from its caller until the
	// other routers have the evidence. A router that has not confirmed by then
	// counts as unreachable. Where suspects run isolated, retries wait too.
	isolatedEvidenceTimeout = 500 * time.Millisecond
	evidenceTimeout         = 100 * time.Millisecond
	// crashDelay is the time since its answer began, that is its first event if it is
	// a stream, within which a request is taken to have crashed its endpoint. Streams
	// that have run for longer are not suspected for a single crash: the endpoint has
	// survived them, and when it crashes there are many.
	crashDelay = execution.SurvivalTime
	// MetricCrashEvidence counts the attempts that are evidence against their
	// requests.
	MetricCrashEvidence = "CrashEvidence"
	// MetricCrashRejections counts the requests that were rejected because they
	// crash endpoints.
	MetricCrashRejections = "CrashRejections"
	// MetricPartRejections counts those of them that were rejected for a part of their
	// prompts.
	MetricPartRejections = "CrashPartRejections"
	// MetricPartEvidence counts the crashes that this router has reported as evidence
	// against parts of prompts, once for each part.
	MetricPartEvidence = "CrashPartEvidence"
)

// suspects limits the endpoints that a request can crash. It runs the state
// machine of package coordination/suspect.
type suspects struct {
	driver *driver.Driver[suspect.Input, suspect.Output]
	table  *suspect.Table
	peers  *peers
	logger log.Interface
	// isolates is suspect.Options.Isolate.
	isolates             bool
	evidence, rejections metrics.Counter
	// partEvidence and partRejections count the same for parts of prompts.
	partEvidence, partRejections metrics.Counter
	// stopped is closed by Close.
	stopped chan struct{}
	// hasEvidence is set while the table holds evidence. While it is not set,
	// calls skip the table.
	hasEvidence atomic.Bool

	mu      sync.Mutex
	lastID  uint64                              // guarded by mu
	waiting map[uint64]chan suspect.CheckResult // guarded by mu
	reports map[uint64]chan struct{}            // guarded by mu
	lists   map[uint64]chan []suspect.Evidence  // guarded by mu
}

func startSuspects(o suspect.Options, f *fleet, p *peers, logger log.Interface, registry metrics.Registry) *suspects {
	s := &suspects{
		table: suspect.New(o), isolates: o.Isolate, peers: p, logger: logger,
		evidence:       metrics.GetOrRegisterCounter(MetricCrashEvidence, registry),
		rejections:     metrics.GetOrRegisterCounter(MetricCrashRejections, registry),
		partEvidence:   metrics.GetOrRegisterCounter(MetricPartEvidence, registry),
		partRejections: metrics.GetOrRegisterCounter(MetricPartRejections, registry),
		waiting:        map[uint64]chan suspect.CheckResult{}, reports: map[uint64]chan struct{}{},
		lists: map[uint64]chan []suspect.Evidence{}, stopped: make(chan struct{}),
	}
	s.driver = driver.New(s.step, suspect.Input(suspect.Alarm{}), s.apply)
	for _, kind := range []string{"SuspectNews", "SuspectAsk", "SuspectPermit", "SuspectDone", "SuspectTaken"} {
		p.Register(kind, func(from view.RouterID, _ uint64, w *wire.Message) {
			if m, ok := wire.ToSuspectMessage(w); ok {
				s.driver.Input(suspect.Delivery{From: from, Message: m})
			}
		})
	}
	f.watch(func(v *view.Snapshot) { s.driver.Input(suspect.Change{View: v}) })
	return s
}

// Close stops the table and releases the goroutines that wait for confirmations.
func (s *suspects) Close() {
	close(s.stopped)
	s.driver.Close()
}

// step passes one input to the table and updates hasEvidence.
func (s *suspects) step(now time.Time, in suspect.Input) []suspect.Output {
	out := s.table.Step(now, in)
	s.hasEvidence.Store(!s.table.Empty())
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
	case suspect.EvidenceList:
		s.mu.Lock()
		if list, ok := s.lists[o.ID]; ok {
			delete(s.lists, o.ID)
			list <- o.Evidence
		}
		s.mu.Unlock()
	case suspect.Send:
		if m := wire.FromSuspectMessage(o.Message); m != nil {
			s.peers.Send(o.To, m)
		}
	case suspect.Wake:
		s.driver.WakeAt(o.At)
	case suspect.Decision:
		if o.Event == suspect.EventPartSuspected {
			s.partEvidence.Inc(1)
		}
		driver.LogDecision(s.logger, o.Event, o.Fields)
	}
}

// rejecting returns the evidence against the requests that are rejected.
func (s *suspects) rejecting() []suspect.Evidence {
	if !s.hasEvidence.Load() {
		return nil
	}
	list := make(chan []suspect.Evidence, 1)
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.lists[id] = list
	s.mu.Unlock()
	s.driver.Input(suspect.ListRequest{ID: id})
	select {
	case all := <-list:
		return all
	default:
		// The table answers at once unless it has been closed.
		s.mu.Lock()
		delete(s.lists, id)
		s.mu.Unlock()
		return nil
	}
}

// receiveEvidence adds evidence that another router has listed.
func (s *suspects) receiveEvidence(from view.RouterID, all []suspect.Evidence) {
	if len(all) > 0 {
		s.driver.Input(suspect.Delivery{From: from, Message: suspect.EvidenceUpdate{Evidence: all}})
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

// parts returns the fingerprints of the parts of a prompt that may crash endpoints.
// Where suspects run isolated, a broken answer is evidence before it is known to be
// a crash, which would be too little for what many requests share.
func (s *suspects) parts(c *execution.Call) []suspect.Fingerprint {
	if s.isolates {
		return nil
	}
	return c.PartFingerprints()
}

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
	s.driver.Input(suspect.CheckRequest{ID: id, Fingerprint: fingerprint(c), Parts: s.parts(c), Deadline: c.Deadline})
	select {
	case j := <-verdict:
		return s.admissionResult(c, j)
	case <-ctx.Done():
	}
	s.driver.Input(suspect.Withdraw{ID: id})
	s.mu.Lock()
	delete(s.waiting, id)
	s.mu.Unlock()
	// The verdict may have arrived before the withdrawal. A permit or a trial of a
	// part then ends, because the request does not run.
	select {
	case j := <-verdict:
		if j.Verdict == suspect.VerdictExclusive || !s.isolates && j.Verdict == suspect.VerdictFree {
			s.driver.Input(suspect.RunEnded{Fingerprint: fingerprint(c), Parts: s.parts(c)})
		}
	default:
	}
	return false, ctx.Err()
}

// admissionResult converts a verdict into the results of Admit.
func (s *suspects) admissionResult(c *execution.Call, j suspect.CheckResult) (bool, error) {
	switch j.Verdict {
	case suspect.VerdictFree:
		return false, nil
	case suspect.VerdictExclusive:
		return true, nil
	case suspect.VerdictRejected:
		s.rejections.Inc(1)
		if j.Part != 0 {
			s.partRejections.Inc(1)
		}
		return false, s.rejection(c, j)
	default:
		return false, s.undecided(c)
	}
}

// undecided returns the problem of a request on which there was no verdict in
// time.
func (s *suspects) undecided(c *execution.Call) *caller.Problem {
	p := &caller.Problem{
		Title: "The request may crash endpoints", Status: http.StatusServiceUnavailable,
		Detail: "an endpoint failed while it ran this request, and another run of it is under way",
		NotRun: caller.NotRunUnknown, Step: "Admit", RequestID: c.RequestID, RetryAt: time.Now().Add(time.Second),
	}
	if !s.isolates {
		p.NotRun = caller.NotRunTrue
		p.Detail = "endpoints crashed while they ran this request, and its time ended before it could be judged"
	}
	return p
}

// rejection returns the problem of a request that has crashed endpoints. Where
// suspects run isolated, a request is the same each time that its caller sends it,
// so it has run. A hosted router answers for this send alone, which has not run;
// the runner corrects that for the retry of one that has.
func (s *suspects) rejection(c *execution.Call, j suspect.CheckResult) *caller.Problem {
	p := &caller.Problem{
		Title: "The request crashes endpoints", Status: http.StatusUnprocessableEntity,
		Detail: "two endpoints failed while they ran this request; it is not run again before the stated instant",
		NotRun: caller.NotRunFalse, Step: "Admit", RequestID: c.RequestID, RetryAt: j.Until,
	}
	if !s.isolates {
		p.Status, p.NotRun = http.StatusServiceUnavailable, caller.NotRunTrue
		p.Detail = fmt.Sprintf("endpoints crashed while they ran this request (fingerprint %x); it is not run again before the stated instant", c.Fingerprint())
	}
	if j.Part != 0 {
		p.Detail = fmt.Sprintf("endpoints crashed while they ran requests with the part %x of this prompt (fingerprint %x); it is not run before the stated instant",
			c.SharedPart(j.Part), uint64(j.Part))
	}
	return p
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
	s.driver.Input(suspect.CheckRequest{ID: id, Fingerprint: fingerprint(c), Parts: s.parts(c)})
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
// request. The returned function waits until each of them has received the report
// or cannot be reached.
func (s *suspects) reportFailure(c *execution.Call, o *execution.Outcome) (confirmed func(context.Context)) {
	s.evidence.Inc(1)
	done := make(chan struct{})
	s.mu.Lock()
	s.lastID++
	reportID := s.lastID
	s.reports[reportID] = done
	s.mu.Unlock()
	s.driver.Input(suspect.EndpointFailed{
		ID: reportID, Fingerprint: fingerprint(c), Parts: s.parts(c), Endpoint: o.Endpoint, BeganAt: o.BeganAt,
	})
	return func(ctx context.Context) {
		select {
		case <-done:
		case <-ctx.Done():
		case <-s.stopped:
		}
	}
}

// Done implements execution.Gate.
func (s *suspects) Done(c *execution.Call, o *execution.Outcome) (confirmed func(context.Context)) {
	confirmed = s.recordCrash(c, o)
	if s.isolates && confirmed != nil {
		// A retry needs a permit, and its owner has to know why.
		confirmed(context.Background())
		confirmed = nil
	}
	parts := s.parts(c)
	finished := o.Result == schedule.ResultFinished && !o.Crashed
	served := finished && o.Status < http.StatusMultipleChoices
	if s.hasEvidence.Load() || served && len(parts) > 0 {
		s.driver.Input(suspect.RunEnded{Fingerprint: fingerprint(c), Parts: parts, Finished: finished, Served: served})
	}
	return confirmed
}

// recordCrash reports the outcome of an attempt as evidence if it is some.
func (s *suspects) recordCrash(c *execution.Call, o *execution.Outcome) (confirmed func(context.Context)) {
	switch {
	case s.isEvidence(c, o):
		return s.reportFailure(c, o)
	case o.Crashed:
		s.driver.Input(suspect.LateFailure{Fingerprint: fingerprint(c), Endpoint: o.Endpoint})
	}
	return nil
}

// CrashedLate records a crash that was recognised after the end of its attempt. Nobody
// waits until the other routers have the evidence.
func (s *suspects) CrashedLate(c *execution.Call, o *execution.Outcome) { s.recordCrash(c, o) }

// Survived records that an endpoint has answered on the prompt of a call for
// execution.SurvivalTime.
func (s *suspects) Survived(c *execution.Call) {
	if parts := s.parts(c); len(parts) > 0 {
		s.driver.Input(suspect.PartsServed{Parts: parts})
	}
}

// isEvidence reports whether the outcome of an attempt is evidence against its
// request. Where endpoints are polled, each broken answer is, until a poll shows
// that the endpoint did not restart. Otherwise the crash must be known, and the answer
// must have ended soon enough for the request to have caused it, however late the crash
// was recognised.
func (s *suspects) isEvidence(c *execution.Call, o *execution.Outcome) bool {
	if s.isolates {
		return o.Result == schedule.ResultBroken
	}
	began := o.AnsweredAt
	if c.Events && o.Status < http.StatusMultipleChoices {
		began = o.FirstEventAt
	}
	return o.Crashed && (began.IsZero() || o.EndedAt.Sub(began) < crashDelay)
}
