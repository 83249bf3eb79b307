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
	// rejoinPause is the time before a claim is tried again after its holder
	// gave its own up.
	rejoinPause = 200 * time.Millisecond
	// endGrace is the time after a call's deadline in which its attempt ends.
	endGrace = time.Second
	// claimRetryPause is what a caller is told to wait before it sends a
	// request again whose claim was not decided.
	claimRetryPause = 2 * time.Second
)

// claims runs each request that is not idempotent at most once.
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
		Random: random(o.Incarnation, "claim"), Appends: c.appends, Reads: c.reads,
		Sender: r.peers, Logger: o.Logger,
	})
	r.peers.Register("ClaimAsk", func(from view.RouterID, _ uint64, m *wire.Message) {
		c.host.ReceiveAsk(from, m.GetClaimAsk())
	})
	r.peers.Register("ClaimVerdict", func(from view.RouterID, _ uint64, m *wire.Message) {
		c.host.ReceiveVerdict(from, m.GetClaimVerdict())
	})
	r.peers.answers = c.tell
	r.fleet.watch(c.host.View)
	return c
}

// Close ends what runs and waits for it.
func (c *claims) Close() {
	c.cancel()
	c.running.Wait()
	c.host.Close()
	_ = c.appends.Close()
	_ = c.reads.Close()
}

// wait returns once nothing runs any more, or the context ends.
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

// AttemptStarted notes that a claimed request is about to be sent.
func (c *claims) AttemptStarted(a *execution.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt := c.attempts[a.Call]; attempt != nil {
		attempt.MarkSent()
	}
}

// AttemptEnded takes that back if nothing was sent after all.
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

// Run runs an idempotent call as it is. Any other call joins the running
// attempt or the kept answer of its key, or begins one.
func (c *claims) Run(ctx context.Context, call *execution.Call, sink execution.Sink) error {
	if call.Class.Idempotent {
		return c.executor.Run(ctx, call, sink)
	}
	if latest := time.Now().Add(coordination.MaxDeadline); call.Deadline.After(latest) {
		call.Deadline = latest
	}
	key := claim.DigestOf(call.Organisation.Name, call.Key)
	work, cancel := context.WithCancel(c.ctx)
	a, fresh := c.store.Enter(key, hashRequest(call), cancel)
	defer a.Leave()
	if fresh {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			defer cancel()
			c.perform(work, call, a)
		}()
	} else {
		cancel()
		if a.BodyHash() != hashRequest(call) {
			return mismatch(call)
		}
	}
	wait, stop := context.WithDeadline(ctx, call.Deadline.Add(endGrace))
	defer stop()
	end, begun, err := a.CopyTo(wait, sink)
	return finish(call, end, begun, err)
}

// hashRequest returns a hash of what a key stands for.
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
// the key, until the attempt has ended.
func (c *claims) perform(ctx context.Context, call *execution.Call, a *answer.Attempt) {
	first := call.Header.Get(caller.HeaderFirstSend) == "true"
	for {
		one := c.host.NewClaim(a.Key(), a.BodyHash(), claim.KeyTime(call.Key))
		c.store.Claim(a, one.ID)
		decided, err := c.host.Acquire(ctx, coordination.Begin{Claim: one, Deadline: call.Deadline, First: first})
		if err != nil {
			a.Finish(answer.EndUnsent, undecided(call, err.Error(), caller.NotRunUnknown))
			return
		}
		switch o := decided.(type) {
		case coordination.Run:
			c.run(ctx, call, a, one.ID)
			return
		case coordination.Refuse:
			a.Finish(answer.EndUnsent, refuse(call, o))
			return
		case coordination.Join:
			if c.join(ctx, call, a, o) {
				return
			}
			if !time.Now().Before(call.Deadline) {
				a.Finish(answer.EndUnsent, undecided(call, "the key was held until the deadline", caller.NotRunUnknown))
				return
			}
		}
		first = false
		sleep(ctx, rejoinPause)
	}
}

// run sends the request; the claim allows that once.
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

// finish turns the end of an attempt into what the caller is told.
func finish(call *execution.Call, end answer.End, begun bool, err error) error {
	if end == answer.EndWhole && err == nil {
		return nil
	}
	if begun {
		return &execution.BrokenError{Err: err}
	}
	var problem *caller.Problem
	if errors.As(err, &problem) {
		told := *problem
		told.RequestID = call.RequestID
		return &told
	}
	switch end {
	case answer.EndBroken, answer.EndDropped:
		return ran(call)
	case answer.EndUnsent:
		return undecided(call, "the request was given up before it was sent", caller.NotRunUnknown)
	default:
		return undecided(call, fmt.Sprintf("the answer did not come in time: %v", err), caller.NotRunUnknown)
	}
}

func mismatch(call *execution.Call) *caller.Problem {
	return &caller.Problem{
		Title: "The key belongs to another request", Status: http.StatusUnprocessableEntity,
		Detail: "this idempotency key was used for another request; use a new key for each request",
		NotRun: caller.NotRunTrue, Step: "Claim", RequestID: call.RequestID,
	}
}

func ran(call *execution.Call) *caller.Problem {
	return &caller.Problem{
		Title: "The answer is gone", Status: http.StatusGone,
		Detail: "the request ran; its answer broke off or is no longer kept, and it is not run again",
		NotRun: caller.NotRunFalse, Step: "Claim", RequestID: call.RequestID,
	}
}

func undecided(call *execution.Call, detail string, notRun caller.NotRun) *caller.Problem {
	title := "It is not known whether the request ran"
	if notRun == caller.NotRunTrue {
		title = "The request was not run"
	}
	return &caller.Problem{
		Title: title, Status: http.StatusServiceUnavailable, Detail: detail,
		NotRun: notRun, Step: "Claim", RequestID: call.RequestID, RetryAt: time.Now().Add(claimRetryPause),
	}
}

// refuse describes a claim that was not won.
func refuse(call *execution.Call, o coordination.Refuse) *caller.Problem {
	switch o.Reason {
	case coordination.RefusalMismatch:
		return mismatch(call)
	case coordination.RefusalExpired:
		return &caller.Problem{
			Title: "The key is too old", Status: http.StatusUnprocessableEntity,
			Detail: fmt.Sprintf("the key states an instant more than %s ago, or in the future; use a new key for a new request", claim.KeyLife),
			NotRun: notRun(o.Outcome), Step: "Claim", RequestID: call.RequestID,
		}
	}
	p := undecided(call, "the request could not be claimed in time: "+string(o.Reason), notRun(o.Outcome))
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
