package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/invariant"
	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/answer"
	host "hyssopreach/internal/transport/claim"
	"hyssopreach/internal/transport/entry"
	"hyssopreach/internal/transport/execution"
	"hyssopreach/internal/transport/platform"
)

const (
	// reclaimDelay is the time before a request is claimed again after the
	// holder of the key abandoned its own claim.
	reclaimDelay = 200 * time.Millisecond
	// endGrace is the time after a call's deadline within which its attempt
	// ends; the caller waits that long for the outcome.
	endGrace = time.Second
	// claimRetryDelay is the delay after which a caller may resend a request
	// whose claim was not decided.
	claimRetryDelay = 2 * time.Second
)

// claims ensures that each non-idempotent request runs at most once. It wraps
// the executor and passes a non-idempotent request on only after claiming the
// request's idempotency key.
type claims struct {
	self        view.RouterID
	incarnation uint64
	executor    entry.Executor
	host        *host.Host
	store       *answer.Store
	peers       *peers
	logger      log.Interface
	appends     *platform.Log
	reads       *platform.Log
	ctx         context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup

	mu       sync.Mutex
	attempts map[*execution.Call]*answer.Attempt // guarded by mu
}

func startClaims(r *Router) *claims {
	s, o := r.options.Settings, r.options
	ctx, cancel := context.WithCancel(context.Background())
	c := &claims{
		self: r.self.ID, incarnation: o.Incarnation, peers: r.peers, logger: o.Logger,
		store:    answer.NewStore(s.Limits.KeptAnswerBytes, time.Now),
		appends:  platform.NewLog(s.LogAddress, o.Network.DialContext),
		reads:    platform.NewLog(s.LogAddress, o.Network.DialContext),
		attempts: map[*execution.Call]*answer.Attempt{}, ctx: ctx, cancel: cancel,
	}
	retention := time.Duration(s.LogRetention)
	if retention == 0 {
		retention = settings.DefaultLogRetention
	}
	c.host = host.Start(host.Options{
		Self: r.self.ID, Incarnation: o.Incarnation, Retention: retention,
		Random: random(o.Incarnation, "claim"), AppendLog: c.appends, ReadLog: c.reads,
		Sender: r.peers, Logger: o.Logger,
	})
	r.peers.Register("ClaimAsk", func(from view.RouterID, _ uint64, m *wire.Message) {
		c.host.ReceiveRequest(from, m.GetClaimAsk())
	})
	r.peers.Register("ClaimVerdict", func(from view.RouterID, _ uint64, m *wire.Message) {
		c.host.ReceiveVerdict(from, m.GetClaimVerdict())
	})
	r.peers.sendAnswer = c.sendAnswer
	r.fleet.watch(c.host.UpdateView)
	return c
}

// Close cancels the running attempts and waits until they have ended.
func (c *claims) Close() {
	c.cancel()
	c.running.Wait()
	c.host.Close()
	_ = c.appends.Close()
	_ = c.reads.Close()
}

// wait returns when no attempt is running any more or the context ends.
func (c *claims) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.running.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// AttemptStarted records that a claimed request is about to be sent.
func (c *claims) AttemptStarted(a *execution.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt := c.attempts[a.Call]; attempt != nil {
		attempt.MarkSent()
	}
}

// AttemptEnded withdraws the record made by AttemptStarted if nothing was sent.
func (c *claims) AttemptEnded(a *execution.Attempt, result schedule.Result, _ error) {
	if result != schedule.ResultNotSent {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt := c.attempts[a.Call]; attempt != nil {
		attempt.MarkUnsent()
	}
}

// Run passes an idempotent call straight to the executor. Any other call joins
// the running attempt or the retained answer of its key, or starts a new
// attempt.
func (c *claims) Run(ctx context.Context, call *execution.Call, sink execution.Sink) error {
	if call.Class.Idempotent {
		return c.executor.Run(ctx, call, sink)
	}
	if latest := time.Now().Add(coordination.MaxDeadline); call.Deadline.After(latest) {
		call.Deadline = latest
	}
	key := claim.DigestOf(call.Organisation.Name, call.Key)
	runCtx, cancel := context.WithCancel(c.ctx)
	a, isNew := c.store.Attach(key, hashRequest(call), cancel)
	defer a.Detach()
	if isNew {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			defer cancel()
			c.perform(runCtx, call, a)
		}()
	} else {
		cancel()
		if a.BodyHash() != hashRequest(call) {
			return keyMismatch(call)
		}
	}
	waitCtx, stop := context.WithDeadline(ctx, call.Deadline.Add(endGrace))
	defer stop()
	end, begun, err := a.CopyTo(waitCtx, sink)
	return callerError(call, end, begun, err)
}

// hashRequest returns a hash of the request that an idempotency key identifies:
// its service, method, path and body.
func hashRequest(call *execution.Call) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{call.Service.Name, call.Method, call.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(call.Body)
	return d.Sum64()
}

// perform claims the request and then runs it, or joins the claim that holds
// the key. It returns when the attempt has ended.
func (c *claims) perform(ctx context.Context, call *execution.Call, a *answer.Attempt) {
	first := call.Header.Get(caller.HeaderFirstSend) == "true"
	for {
		newClaim := c.host.NewClaim(a.Key(), a.BodyHash(), claim.KeyTime(call.Key))
		c.store.SetClaim(a, newClaim.ID)
		decision, err := c.host.Acquire(ctx, coordination.Begin{Claim: newClaim, Deadline: call.Deadline, First: first})
		if err != nil {
			a.Finish(answer.EndUnsent, claimUndecided(call, err.Error(), caller.NotRunUnknown))
			return
		}
		switch o := decision.(type) {
		case coordination.Run:
			c.run(ctx, call, a, newClaim.ID)
			return
		case coordination.Refuse:
			a.Finish(answer.EndUnsent, refusedClaim(call, o))
			return
		case coordination.Join:
			if c.join(ctx, call, a, o) {
				return
			}
			if !time.Now().Before(call.Deadline) {
				a.Finish(answer.EndUnsent, claimUndecided(call, "the key was held until the deadline", caller.NotRunUnknown))
				return
			}
		}
		// Another claim has held the key, so this is no longer known to be the
		// first send.
		first = false
		sleep(ctx, reclaimDelay)
	}
}

// run executes the request under a claim that has been won, which permits one
// run only, and reports to the claim host whether the request was sent.
func (c *claims) run(ctx context.Context, call *execution.Call, a *answer.Attempt, id claim.ID) {
	c.mu.Lock()
	c.attempts[call] = a
	c.mu.Unlock()
	err := c.executor.Run(ctx, call, a)
	c.mu.Lock()
	delete(c.attempts, call)
	c.mu.Unlock()
	var problem *caller.Problem
	switch {
	case err == nil:
		c.host.Sent(id)
	case errors.As(err, &problem) && problem.NotRun == caller.NotRunTrue &&
		invariant.Check(!a.Sent(), invariant.NotRunIsTrue, "RequestID", call.RequestID, "Claim", id.String()):
		c.host.Unsent(id)
		a.Finish(answer.EndUnsent, err)
	case errors.As(err, &problem):
		c.host.Sent(id)
		a.Finish(answer.EndUnknown, err)
	default:
		c.host.Sent(id)
		a.Finish(answer.EndBroken, err)
	}
}

// callerError converts the end of an attempt into the error for the caller, or
// nil after a complete answer.
func callerError(call *execution.Call, end answer.End, begun bool, err error) error {
	if end == answer.EndComplete && err == nil {
		return nil
	}
	if begun {
		return execution.NewBrokenError(err)
	}
	var problem *caller.Problem
	if errors.As(err, &problem) {
		copied := *problem
		copied.RequestID = call.RequestID
		return &copied
	}
	switch end {
	case answer.EndBroken, answer.EndEvicted:
		return answerGone(call)
	case answer.EndUnsent:
		return claimUndecided(call, "the request was given up before it was sent", caller.NotRunUnknown)
	default:
		return claimUndecided(call, fmt.Sprintf("the answer did not come in time: %v", err), caller.NotRunUnknown)
	}
}

func keyMismatch(call *execution.Call) *caller.Problem {
	return &caller.Problem{
		Title: "The key belongs to another request", Status: http.StatusUnprocessableEntity,
		Detail: "this idempotency key was used for another request; use a new key for each request",
		NotRun: caller.NotRunTrue, Step: "Claim", RequestID: call.RequestID,
	}
}

func answerGone(call *execution.Call) *caller.Problem {
	return &caller.Problem{
		Title: "The answer is gone", Status: http.StatusGone,
		Detail: "the request ran; its answer broke off or is no longer kept, and it is not run again",
		NotRun: caller.NotRunFalse, Step: "Claim", RequestID: call.RequestID,
	}
}

func claimUndecided(call *execution.Call, detail string, notRun caller.NotRun) *caller.Problem {
	title := "It is not known whether the request ran"
	if notRun == caller.NotRunTrue {
		title = "The request was not run"
	}
	return &caller.Problem{
		Title: title, Status: http.StatusServiceUnavailable, Detail: detail,
		NotRun: notRun, Step: "Claim", RequestID: call.RequestID, RetryAt: time.Now().Add(claimRetryDelay),
	}
}

// refusedClaim returns the problem for a claim that was not won.
func refusedClaim(call *execution.Call, o coordination.Refuse) *caller.Problem {
	switch o.Reason {
	case coordination.RefusalMismatch:
		return keyMismatch(call)
	case coordination.RefusalExpired:
		return &caller.Problem{
			Title: "The key is too old", Status: http.StatusUnprocessableEntity,
			Detail: fmt.Sprintf("the key states an instant more than %s ago, or in the future; use a new key for a new request", claim.KeyLifetime),
			NotRun: notRun(o.Outcome), Step: "Claim", RequestID: call.RequestID,
		}
	}
	p := claimUndecided(call, "the request could not be claimed in time: "+string(o.Reason), notRun(o.Outcome))
	if o.Reason == coordination.RefusalDeadline {
		p.Status = http.StatusGatewayTimeout
	}
	return p
}

func notRun(o coordination.Outcome) caller.NotRun {
	switch o {
	case coordination.OutcomeNotRun:
		return caller.NotRunTrue
	case coordination.OutcomeRan:
		return caller.NotRunFalse
	default:
		return caller.NotRunUnknown
	}
}
