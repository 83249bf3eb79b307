package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	coordination "hyssopreach/internal/coordination/claim"
	records "hyssopreach/internal/protocol/claim"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/driver"
	"hyssopreach/internal/transport/platform"
)

const (
	// appendTimeout bounds one append; the outcome of an append that exceeds it
	// is unknown.
	appendTimeout = 2 * time.Second
	// readWait is how long the log holds a read open for new records.
	readWait = 20 * time.Second
	// readTimeout bounds a read, including readWait.
	readTimeout = 30 * time.Second
	// queueLength bounds the queued messages from this router to itself.
	queueLength = 4096
)

// Sender sends messages to other routers. Send must not block.
type Sender interface {
	Send(to view.RouterID, m *wire.Message)
}

// Log is a client of the platform's append-only log.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, waitUntil time.Time) (platform.Page, error)
}

// Options configure a Host. AppendLog and ReadLog are separate clients of the log,
// because a read blocks until there are new records.
type Options struct {
	Self        view.RouterID
	Incarnation uint64
	// Retention is how long the log retains a record.
	Retention time.Duration
	// Random is the source of randomness for the claimant's retry delays.
	Random    *rand.Rand
	AppendLog Log
	ReadLog   Log
	Sender    Sender
	Logger    log.Interface
}

// Host runs the claimant and the writers of one router.
type Host struct {
	options  Options
	claimant *driver.Driver[coordination.ClaimantInput, coordination.Output]
	writers  [claim.Ranges]*driver.Driver[coordination.WriterInput, coordination.Output]
	loopback chan func()
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu        sync.Mutex
	undecided map[claim.ID]chan coordination.Output // guarded by mu; the claims that Acquire waits for
}

// Start starts the state machines.
func Start(o Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		options: o, loopback: make(chan func(), queueLength), ctx: ctx, cancel: cancel,
		undecided: map[claim.ID]chan coordination.Output{},
	}
	h.claimant = driver.New(coordination.NewClaimant(o.Random).Step,
		coordination.ClaimantInput(coordination.ClaimantAlarm{}), h.applyClaimant)
	for i := range h.writers {
		h.writers[i] = driver.New(coordination.NewWriter(i, o.Retention).Step,
			coordination.WriterInput(coordination.WriterAlarm{}), func(out coordination.Output) { h.applyWriter(i, out) })
	}
	h.spawn(h.deliverLoopback)
	return h
}

// Close stops the state machines, cancels the running reads and appends, and
// waits for them to return.
func (h *Host) Close() {
	h.cancel()
	h.claimant.Close()
	for i := range h.writers {
		h.writers[i].Close()
	}
	h.running.Wait()
}

func (h *Host) spawn(work func()) {
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		work()
	}()
}

// deliverLoopback delivers the messages from this router to itself.
func (h *Host) deliverLoopback() {
	for {
		select {
		case deliver := <-h.loopback:
			deliver()
		case <-h.ctx.Done():
			return
		}
	}
}

// UpdateView updates the state machines with a new view of the live routers, which
// determines the owner of each key range.
func (h *Host) UpdateView(v *view.Snapshot) {
	h.claimant.Input(coordination.ViewChange{View: v})
	for i := range h.writers {
		owner, ok := v.Owner(claim.Stream(i))
		h.writers[i].Input(coordination.Ownership{Owned: ok && owner == h.options.Self})
	}
}

// ReceiveRequest passes a peer's claim request, a ClaimAsk on the wire, to the
// writer of its key range.
func (h *Host) ReceiveRequest(from view.RouterID, m *wire.ClaimAsk) {
	request, err := wire.ToClaimAsk(from, m)
	if err != nil {
		h.options.Logger.WithField("Peer", from).WithField("Error", err).Warn("ClaimAskMalformed")
		return
	}
	h.writers[request.Claim.Key.Range()].Input(coordination.RequestReceived{From: from, Request: request})
}

// ReceiveVerdict passes a peer's ClaimVerdict to the claimant.
func (h *Host) ReceiveVerdict(from view.RouterID, m *wire.ClaimVerdict) {
	verdict, err := wire.ToClaimVerdict(m)
	if err != nil {
		h.options.Logger.WithField("Peer", from).WithField("Error", err).Warn("ClaimVerdictMalformed")
		return
	}
	h.claimant.Input(coordination.VerdictReceived{Verdict: verdict})
}

// NewClaim returns a claim with a new identifier that is held by the current
// incarnation of this router.
func (h *Host) NewClaim(key claim.Digest, bodyHash uint64, keyTime time.Time) claim.Claim {
	return claim.Claim{
		ID: claim.ID(uuid.New()), Key: key, BodyHash: bodyHash, KeyTime: keyTime,
		Holder: claim.Holder{Router: string(h.options.Self), Incarnation: h.options.Incarnation},
	}
}

// Acquire requests a claim and waits for the claimant's decision, which is a
// coordination.Run, Join or Refuse. After a Run the caller must call Sent or
// Unsent. If the context ends first, the claim is released.
func (h *Host) Acquire(ctx context.Context, b coordination.Begin) (coordination.Output, error) {
	decided := make(chan coordination.Output, 1)
	h.mu.Lock()
	h.undecided[b.Claim.ID] = decided
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.undecided, b.Claim.ID)
		h.mu.Unlock()
	}()
	h.claimant.Input(b)
	select {
	case out := <-decided:
		return out, nil
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	h.Unsent(b.Claim.ID)
	return nil, fmt.Errorf("wait for the claim %s: %w", b.Claim.ID, context.Canceled)
}

// Sent records that the request of a claim was sent, or may have been.
func (h *Host) Sent(id claim.ID) { h.claimant.Input(coordination.Sent{ID: id}) }

// Unsent records that no byte of the request of a claim was or will be sent,
// which releases the claim.
func (h *Host) Unsent(id claim.ID) { h.claimant.Input(coordination.Unsent{ID: id}) }

// ReleaseOrphan releases a claim that holds its key although its request was
// abandoned unsent, because an append of the claim took effect late.
func (h *Host) ReleaseOrphan(id claim.ID, key claim.Digest) {
	h.claimant.Input(coordination.ReleaseOrphan{Claim: claim.Claim{ID: id, Key: key}})
}

func (h *Host) applyClaimant(out coordination.Output) {
	switch o := out.(type) {
	case coordination.SendRequest:
		h.sendRequest(o)
	case coordination.Run:
		h.resolve(o.ID, o)
	case coordination.Join:
		h.resolve(o.ID, o)
	case coordination.Refuse:
		h.resolve(o.ID, o)
	case coordination.Wake:
		h.claimant.WakeAt(o.At)
	case coordination.Decision:
		driver.LogDecision(h.options.Logger, o.Event, o.Fields)
	}
}

func (h *Host) resolve(id claim.ID, out coordination.Output) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if decided, ok := h.undecided[id]; ok {
		delete(h.undecided, id)
		decided <- out
	}
}

func (h *Host) sendRequest(o coordination.SendRequest) {
	if o.To == h.options.Self {
		h.enqueue(func() {
			h.writers[o.Request.Claim.Key.Range()].Input(coordination.RequestReceived{From: o.To, Request: o.Request})
		})
		return
	}
	h.options.Sender.Send(o.To, &wire.Message{Kind: &wire.Message_ClaimAsk{ClaimAsk: wire.FromClaimAsk(&o.Request)}})
}

// enqueue queues a message from this router to itself. It drops the message if
// the queue is full; the claimant repeats its requests until they are answered.
func (h *Host) enqueue(deliver func()) {
	select {
	case h.loopback <- deliver:
	default:
		h.options.Logger.Warn("ClaimMessageDropped")
	}
}

func (h *Host) applyWriter(keyRange int, out coordination.Output) {
	switch o := out.(type) {
	case coordination.SendVerdict:
		if o.To == h.options.Self {
			h.enqueue(func() { h.claimant.Input(coordination.VerdictReceived{Verdict: o.Verdict}) })
			return
		}
		h.options.Sender.Send(o.To, &wire.Message{
			Kind: &wire.Message_ClaimVerdict{ClaimVerdict: wire.FromClaimVerdict(&o.Verdict)},
		})
	case coordination.Append:
		h.spawn(func() { h.writers[keyRange].Input(h.appendBatch(o)) })
	case coordination.Read:
		h.spawn(func() { h.writers[keyRange].Input(h.readRecords(o)) })
	case coordination.Wake:
		h.writers[keyRange].WakeAt(o.At)
	case coordination.Decision:
		driver.LogDecision(h.options.Logger, o.Event, o.Fields)
	}
}

func (h *Host) appendBatch(o coordination.Append) coordination.WriterInput {
	ctx, cancel := context.WithTimeout(h.ctx, appendTimeout)
	defer cancel()
	payload, err := records.Encode(o.Batch)
	if err == nil {
		var offset uint64
		if offset, err = h.options.AppendLog.Append(ctx, claim.Stream(o.Range), [][]byte{payload}); err == nil {
			return coordination.Appended{Token: o.Token, Offset: offset}
		}
	}
	h.options.Logger.WithField("Error", err).Warn("ClaimsAppendFailed")
	return coordination.AppendFailed{Token: o.Token}
}

func (h *Host) readRecords(o coordination.Read) coordination.WriterInput {
	ctx, cancel := context.WithTimeout(h.ctx, readTimeout)
	defer cancel()
	var waitUntil time.Time
	if o.Wait {
		waitUntil = time.Now().Add(readWait)
	}
	page, err := h.options.ReadLog.Read(ctx, claim.Stream(o.Range), o.From, waitUntil)
	var trimmed *platform.OffsetTrimmedError
	switch {
	case errors.As(err, &trimmed):
		return coordination.OffsetTrimmed{Oldest: trimmed.Oldest}
	case err != nil:
		if h.ctx.Err() == nil {
			h.options.Logger.WithField("Error", err).Warn("ClaimsReadFailed")
		}
		return coordination.ReadFailed{}
	}
	in := coordination.Records{Next: page.Next}
	for _, r := range page.Records {
		batch, err := records.Decode(r.Payload)
		if err != nil {
			// A malformed record counts as an empty batch for every reader, so that
			// all of them fold the same claims.
			h.options.Logger.WithField("Offset", r.Offset).WithField("Error", err).Error("ClaimRecordMalformed")
			batch = claim.Batch{FormatVersion: claim.FormatVersion}
		}
		in.Records = append(in.Records, claim.Record{Offset: r.Offset, Appended: r.Appended, Batch: batch})
	}
	return in
}
