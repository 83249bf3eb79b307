package claims

import (
	"math/rand/v2"
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

// router is one simulated router with its claimant and its writers.
type router struct {
	w           *world
	id          view.RouterID
	incarnation uint64
	pausedUntil time.Time
	deadUntil   time.Time
	cutUntil    time.Time
	claimant    *coordination.Claimant
	writers     [claim.Ranges]*coordination.Writer
	byID        map[claim.ID]*job
	byKey       map[claim.Digest]*job
}

// start begins a new incarnation with empty state.
func (r *router) start() {
	r.incarnation++
	r.claimant = coordination.NewClaimant(rand.New(rand.NewPCG(r.w.random.Uint64(), 1)))
	r.byID, r.byKey = map[claim.ID]*job{}, map[claim.Digest]*job{}
	for i := range r.writers {
		r.writers[i] = coordination.NewWriter(i, r.w.options.Retention)
	}
	r.setView(r.w.view)
}

// schedule calls do after the given time; see bindToIncarnation.
func (r *router) schedule(d time.Duration, do func()) {
	r.w.clock.after(d, r.bindToIncarnation(do))
}

// bindToIncarnation returns a function that calls do. The call is dropped if
// the router has stopped or has been restarted by then, and delayed until the
// end of a pause.
func (r *router) bindToIncarnation(do func()) func() {
	incarnation := r.incarnation
	var step func()
	step = func() {
		switch {
		case r.incarnation != incarnation || r.w.clock.now.Before(r.deadUntil):
		case r.w.clock.now.Before(r.pausedUntil):
			r.w.clock.at(r.pausedUntil, step)
		default:
			do()
		}
	}
	return step
}

// setView passes the view to the claimant, and informs each writer whether this
// router owns the writer's key range.
func (r *router) setView(v *view.Snapshot) {
	r.claim(coordination.ViewChange{View: v})
	for i := range r.writers {
		owner, _ := v.Owner(claim.Stream(i))
		r.write(i, coordination.Ownership{Owned: owner == r.id})
	}
}

func (r *router) claim(in coordination.ClaimantInput) {
	outputs := append([]coordination.Output(nil), r.claimant.Step(r.w.clock.now, in)...)
	r.perform(outputs, func() { r.claim(coordination.ClaimantAlarm{}) })
}

func (r *router) write(keyRange int, in coordination.WriterInput) {
	outputs := append([]coordination.Output(nil), r.writers[keyRange].Step(r.w.clock.now, in)...)
	r.perform(outputs, func() { r.write(keyRange, coordination.WriterAlarm{}) })
}

// perform carries out the outputs of a claimant or writer. alarm is called at
// the instant of a Wake output.
func (r *router) perform(outputs []coordination.Output, alarm func()) {
	for _, o := range outputs {
		switch o := o.(type) {
		case coordination.SendRequest:
			r.w.history.recordCall(r.w.clock.now, o.Request)
			r.w.send(r, o.To, func(to *router) {
				to.write(o.Request.Claim.Key.Range(), coordination.RequestReceived{From: r.id, Request: o.Request})
			})
		case coordination.SendVerdict:
			r.w.send(r, o.To, func(to *router) {
				to.w.history.recordResult(to.w.clock.now, o.Verdict.Result)
				to.claim(coordination.VerdictReceived{Verdict: o.Verdict})
			})
		case coordination.Append:
			r.append(o)
		case coordination.Read:
			r.read(o)
		case coordination.Wake:
			r.schedule(o.At.Sub(r.w.clock.now), alarm)
		case coordination.Run:
			r.enqueue(r.byID[o.ID])
		case coordination.Join:
			r.join(r.byID[o.ID], o)
		case coordination.Refuse:
			r.refuse(r.byID[o.ID], o.Outcome)
		}
	}
}

func (r *router) append(o coordination.Append) {
	var reply coordination.WriterInput
	step := r.bindToIncarnation(func() { r.write(o.Range, reply) })
	r.w.log.append(o.Range, o.Batch, func(offset uint64, ok bool) {
		reply = coordination.AppendFailed{Token: o.Token}
		if ok {
			reply = coordination.Appended{Token: o.Token, Offset: offset}
		}
		step()
	})
}

func (r *router) read(o coordination.Read) {
	var reply coordination.WriterInput
	step := r.bindToIncarnation(func() { r.write(o.Range, reply) })
	r.w.log.read(o.Range, o.From, o.Wait, func(a readReply) {
		switch {
		case a.failed:
			reply = coordination.ReadFailed{}
		case a.trimmed:
			reply = coordination.OffsetTrimmed{Oldest: a.oldest}
		default:
			reply = coordination.Records{Records: a.records, Next: a.next}
		}
		step()
	})
}
