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
	// appendTimeout is the time after which the fate of an append is unknown.
	appendTimeout = 2 * time.Second
	// readWait is how long a read waits for new records.
	readWait = 20 * time.Second
	// readTimeout bounds a read, its wait included.
	readTimeout = 30 * time.Second
	// queueLength bounds the messages from this router to itself.
	queueLength = 4096
)

// Sender delivers messages to other routers; it must not block.
type Sender interface {
	Send(to view.RouterID, m *wire.Message)
}

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, waitUntil time.Time) (platform.Page, error)
}

// Options are what a host needs. Reads wait for records and so have a client
// of their own.
type Options struct {
	Self        view.RouterID
	Incarnation uint64
	Retention   time.Duration
	Random      *rand.Rand
	Appends     Log
	Reads       Log
	Sender      Sender
	Logger      log.Interface
}

// Host runs the claimant and the writers of one router.
type Host struct {
	options  Options
	claimant *driver.Driver[coordination.ClaimantInput, coordination.Output]
	writers  [claim.Ranges]*driver.Driver[coordination.WriterInput, coordination.Output]
	local    chan func()
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu      sync.Mutex
	waiting map[claim.ID]chan coordination.Output // guarded by mu
}

// Start runs the machines.
func Start(o Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		options: o, local: make(chan func(), queueLength), ctx: ctx, cancel: cancel,
		waiting: map[claim.ID]chan coordination.Output{},
	}
	h.claimant = driver.New(coordination.NewClaimant(o.Random).Step,
		coordination.ClaimantInput(coordination.ClaimantAlarm{}), h.applyClaimant)
	for i := range h.writers {
		h.writers[i] = driver.New(coordination.NewWriter(i, o.Retention).Step,
			coordination.WriterInput(coordination.WriterAlarm{}), func(out coordination.Output) { h.applyWriter(i, out) })
	}
	h.spawn(h.deliver)
	return h
}

// Close stops the machines and waits for reads and appends to end.
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

// deliver hands over the messages of this router to itself.
func (h *Host) deliver() {
	for {
		select {
		case do := <-h.local:
			do()
		case <-h.ctx.Done():
			return
		}
	}
}

// View tells the machines which routers live.
func (h *Host) View(v *view.Snapshot) {
	h.claimant.Input(coordination.ViewChange{View: v})
	for i := range h.writers {
		owner, ok := v.Owner(claim.Stream(i))
		h.writers[i].Input(coordination.Ownership{Owned: ok && owner == h.options.Self})
	}
}

// ReceiveAsk takes a peer's ask.
func (h *Host) ReceiveAsk(from view.RouterID, m *wire.ClaimAsk) {
	ask, err := wire.ToClaimAsk(from, m)
	if err != nil {
		h.options.Logger.WithField("Peer", from).WithField("Error", err).Warn("ClaimAskMalformed")
		return
	}
	h.writers[ask.Claim.Key.Range()].Input(coordination.RequestReceived{From: from, Request: ask})
}

// ReceiveVerdict takes a peer's verdict.
func (h *Host) ReceiveVerdict(from view.RouterID, m *wire.ClaimVerdict) {
	verdict, err := wire.ToClaimVerdict(m)
	if err != nil {
		h.options.Logger.WithField("Peer", from).WithField("Error", err).Warn("ClaimVerdictMalformed")
		return
	}
	h.claimant.Input(coordination.VerdictReceived{Verdict: verdict})
}

// NewClaim returns a claim of this router's incarnation with an identifier of
// its own.
func (h *Host) NewClaim(key claim.Digest, bodyHash uint64, keyTime time.Time) claim.Claim {
	return claim.Claim{
		ID: claim.ID(uuid.New()), Key: key, BodyHash: bodyHash, KeyTime: keyTime,
		Holder: claim.Holder{Router: string(h.options.Self), Incarnation: h.options.Incarnation},
	}
}

// Acquire asks for a claim and returns a coordination.Run, Join or Refuse. A
// Run must be ended with Sent or Unsent. When the context ends first, the
// claim is given up.
func (h *Host) Acquire(ctx context.Context, b coordination.Begin) (coordination.Output, error) {
	decided := make(chan coordination.Output, 1)
	h.mu.Lock()
	h.waiting[b.Claim.ID] = decided
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.waiting, b.Claim.ID)
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

// Sent says that the request of a claim was sent, or may have been.
func (h *Host) Sent(id claim.ID) { h.claimant.Input(coordination.Sent{ID: id}) }

// Unsent says that nothing of the request of a claim was or will be sent.
func (h *Host) Unsent(id claim.ID) { h.claimant.Input(coordination.Unsent{ID: id}) }

// Disown gives up a claim that still holds its key although it was given up
// before.
func (h *Host) Disown(id claim.ID, key claim.Digest) {
	h.claimant.Input(coordination.ReleaseOrphan{Claim: claim.Claim{ID: id, Key: key}})
}

func (h *Host) applyClaimant(out coordination.Output) {
	switch o := out.(type) {
	case coordination.SendRequest:
		h.sendAsk(o)
	case coordination.Run:
		h.decide(o.ID, o)
	case coordination.Join:
		h.decide(o.ID, o)
	case coordination.Refuse:
		h.decide(o.ID, o)
	case coordination.Wake:
		h.claimant.WakeAt(o.At)
	case coordination.Decision:
		driver.LogDecision(h.options.Logger, o.Event, o.Fields)
	}
}

func (h *Host) decide(id claim.ID, out coordination.Output) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if decided, ok := h.waiting[id]; ok {
		delete(h.waiting, id)
		decided <- out
	}
}

func (h *Host) sendAsk(o coordination.SendRequest) {
	if o.To == h.options.Self {
		h.enqueue(func() {
			h.writers[o.Request.Claim.Key.Range()].Input(coordination.RequestReceived{From: o.To, Request: o.Request})
		})
		return
	}
	h.options.Sender.Send(o.To, &wire.Message{Kind: &wire.Message_ClaimAsk{ClaimAsk: wire.FromClaimAsk(&o.Request)}})
}

// enqueue drops a message that finds the queue full; it will be sent again.
func (h *Host) enqueue(do func()) {
	select {
	case h.local <- do:
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
		h.spawn(func() { h.writers[keyRange].Input(h.append(o)) })
	case coordination.Read:
		h.spawn(func() { h.writers[keyRange].Input(h.read(o)) })
	case coordination.Wake:
		h.writers[keyRange].WakeAt(o.At)
	case coordination.Decision:
		driver.LogDecision(h.options.Logger, o.Event, o.Fields)
	}
}

func (h *Host) append(o coordination.Append) coordination.WriterInput {
	ctx, cancel := context.WithTimeout(h.ctx, appendTimeout)
	defer cancel()
	payload, err := records.Encode(o.Batch)
	if err == nil {
		var offset uint64
		if offset, err = h.options.Appends.Append(ctx, claim.Stream(o.Range), [][]byte{payload}); err == nil {
			return coordination.Appended{Token: o.Token, Offset: offset}
		}
	}
	h.options.Logger.WithField("Error", err).Warn("ClaimsAppendFailed")
	return coordination.AppendFailed{Token: o.Token}
}

func (h *Host) read(o coordination.Read) coordination.WriterInput {
	ctx, cancel := context.WithTimeout(h.ctx, readTimeout)
	defer cancel()
	var waitUntil time.Time
	if o.Wait {
		waitUntil = time.Now().Add(readWait)
	}
	page, err := h.options.Reads.Read(ctx, claim.Stream(o.Range), o.From, waitUntil)
	var gone *platform.GoneError
	switch {
	case errors.As(err, &gone):
		return coordination.OffsetGone{Oldest: gone.Oldest}
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
			// Every reader passes over what is no record of claims.
			h.options.Logger.WithField("Offset", r.Offset).WithField("Error", err).Error("ClaimRecordMalformed")
			batch = claim.Batch{FormatVersion: claim.FormatVersion}
		}
		in.Records = append(in.Records, claim.Record{Offset: r.Offset, Appended: r.Appended, Batch: batch})
	}
	return in
}
