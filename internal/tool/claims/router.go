package claims

import (
	"math/rand/v2"
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

// router hosts the machines of one router of the fleet.
type router struct {
	w           *world
	id          view.RouterID
	incarnation uint64
	pausedUntil time.Time
	deadUntil   time.Time
	cutUntil    time.Time
	claimant    *coordination.Claimant
	writers     [claim.Ranges]*coordination.Writer
	byID        map[claim.ID]*work
	byKey       map[claim.Digest]*work
}

// start begins a new incarnation with empty state.
func (r *router) start() {
	r.incarnation++
	r.claimant = coordination.NewClaimant(rand.New(rand.NewPCG(r.w.random.Uint64(), 1)))
	r.byID, r.byKey = map[claim.ID]*work{}, map[claim.Digest]*work{}
	for i := range r.writers {
		r.writers[i] = coordination.NewWriter(i, r.w.options.Retention)
	}
	r.see(r.w.view)
}

// later runs a step of the present incarnation, after any pause.
func (r *router) later(d time.Duration, do func()) {
	r.w.clock.after(d, r.bound(do))
}

// bound ties a step to the present incarnation; it waits for any pause to end.
func (r *router) bound(do func()) func() {
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

func (r *router) see(v *view.Snapshot) {
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

func (r *router) perform(outputs []coordination.Output, alarm func()) {
	for _, o := range outputs {
		switch o := o.(type) {
		case coordination.SendRequest:
			r.w.history.asked(r.w.clock.now, o.Request)
			r.w.send(r, o.To, func(to *router) {
				to.write(o.Request.Claim.Key.Range(), coordination.RequestReceived{From: r.id, Request: o.Request})
			})
		case coordination.SendVerdict:
			r.w.send(r, o.To, func(to *router) {
				to.w.history.heard(to.w.clock.now, o.Verdict.Standing)
				to.claim(coordination.VerdictReceived{Verdict: o.Verdict})
			})
		case coordination.Append:
			r.append(o)
		case coordination.Read:
			r.read(o)
		case coordination.Wake:
			r.later(o.At.Sub(r.w.clock.now), alarm)
		case coordination.Run:
			r.queue(r.byID[o.ID])
		case coordination.Join:
			r.join(r.byID[o.ID], o)
		case coordination.Refuse:
			r.refuse(r.byID[o.ID], o.Outcome)
		}
	}
}

func (r *router) append(o coordination.Append) {
	var reply coordination.WriterInput
	step := r.bound(func() { r.write(o.Range, reply) })
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
	step := r.bound(func() { r.write(o.Range, reply) })
	r.w.log.read(o.Range, o.From, o.Wait, func(a readReply) {
		switch {
		case a.failed:
			reply = coordination.ReadFailed{}
		case a.gone:
			reply = coordination.OffsetGone{Oldest: a.oldest}
		default:
			reply = coordination.Records{Records: a.records, Next: a.next}
		}
		step()
	})
}
