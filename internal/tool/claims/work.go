package claims

import (
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
)

// stage is how far a request has come at its router.
type stage uint8

const (
	stageClaiming stage = iota
	stageQueued
	stageRunning
	stageJoined
	stageFinished
	stageUnsent
	stageUnknown
)

// work is one request as one router knows it.
type work struct {
	request  *request
	id       claim.ID
	begun    time.Time
	deadline time.Time
	stage    stage
	// refused is set once a caller has been told that this work never ran.
	refused bool
	callers []*caller
	joiners []func(stage)
}

// arrive takes a caller's request. A request that is already here is joined.
func (r *router) arrive(c *caller) {
	w := r.byKey[c.request.key]
	switch {
	case w == nil || w.stage == stageUnsent || w.stage == stageUnknown:
		w = &work{request: c.request, begun: r.w.clock.now, deadline: r.w.clock.now.Add(requestLeast + r.w.upTo(requestMost))}
		w.callers = append(w.callers, c)
		r.byKey[c.request.key] = w
		r.begin(w, c.first)
	case w.stage == stageFinished:
		r.w.answer(r, c, coordination.OutcomeRan)
	default:
		w.callers = append(w.callers, c)
	}
}

func (r *router) begin(w *work, first bool) {
	w.id = r.w.newID()
	w.stage = stageClaiming
	r.byID[w.id] = w
	r.claim(coordination.Begin{
		Claim: claim.Claim{
			ID: w.id, Key: w.request.key, BodyHash: 1,
			Holder: claim.Holder{Router: string(r.id), Incarnation: r.incarnation},
		},
		Deadline: w.deadline,
		First:    first,
	})
}

// abandon notes that a caller has gone. Work that has not been sent is given
// up with its last caller; work that has been sent runs on.
func (r *router) abandon(c *caller) {
	w := r.byKey[c.request.key]
	if w == nil {
		return
	}
	rest := w.callers[:0]
	for _, other := range w.callers {
		if other != c {
			rest = append(rest, other)
		}
	}
	w.callers = rest
	if len(rest) == 0 && (w.stage == stageClaiming || w.stage == stageQueued) {
		r.end(w, stageUnsent)
		r.claim(coordination.Unsent{ID: w.id})
	}
}

// queue waits for capacity and then sends the request to the endpoint.
func (r *router) queue(w *work) {
	if w == nil || w.stage != stageClaiming {
		return
	}
	r.w.report.added(r.w.clock.now.Sub(w.begun))
	w.stage = stageQueued
	id := w.id
	r.later(r.w.upTo(queueMost), func() {
		if w.stage != stageQueued || w.id != id {
			return
		}
		if r.w.chance(r.w.faults.unscheduled) || !r.w.clock.now.Before(w.deadline) {
			r.refuse(w, coordination.OutcomeNotRun)
			r.claim(coordination.Unsent{ID: id})
			return
		}
		w.stage = stageRunning
		r.claim(coordination.Sent{ID: id})
		r.w.endpoint(w, r.bound(func() { r.finish(w) }))
	})
}

func (r *router) finish(w *work) {
	callers := w.callers
	r.end(w, stageFinished)
	for _, c := range callers {
		r.w.answer(r, c, coordination.OutcomeRan)
	}
}

// refuse ends work that will not be sent from here.
func (r *router) refuse(w *work, outcome coordination.Outcome) {
	if w == nil || w.stage >= stageFinished {
		return
	}
	callers := w.callers
	if outcome == coordination.OutcomeNotRun {
		w.refused = true
	}
	end := stageUnsent
	if w.stage == stageJoined {
		end = stageUnknown
	}
	r.end(w, end)
	for _, c := range callers {
		r.w.answer(r, c, outcome)
	}
}

func (r *router) end(w *work, s stage) {
	joiners := w.joiners
	w.stage, w.callers, w.joiners = s, nil, nil
	for _, tell := range joiners {
		tell(s)
	}
}

// join asks the holder of the key for its answer.
func (r *router) join(w *work, o coordination.Join) {
	if w == nil || w.stage != stageClaiming {
		return
	}
	w.stage = stageJoined
	id := w.id
	r.later(w.deadline.Sub(r.w.clock.now), func() {
		if w.stage == stageJoined && w.id == id {
			r.refuse(w, coordination.OutcomeUnknown)
		}
	})
	r.w.query(r, o, func(s stage) {
		if w.stage == stageJoined && w.id == id {
			r.joined(w, s)
		}
	})
}

func (r *router) joined(w *work, s stage) {
	switch s {
	case stageFinished:
		r.finish(w)
	case stageUnsent:
		r.later(joinPause, func() {
			if w.stage == stageJoined {
				r.begin(w, false)
			}
		})
	default:
		r.refuse(w, coordination.OutcomeUnknown)
	}
}

// tell answers another router's question for a claim's answer.
func (r *router) tell(id claim.ID, incarnation uint64, reply func(stage)) {
	w := r.byID[id]
	switch {
	case w == nil || r.incarnation != incarnation:
		reply(stageUnknown)
	case w.id != id || w.stage == stageUnsent:
		// The claim was given up, or lost and its work went on under another.
		r.claim(coordination.ReleaseOrphan{Claim: claim.Claim{ID: id, Key: w.request.key}})
		reply(stageUnsent)
	case w.stage >= stageFinished:
		reply(w.stage)
	default:
		w.joiners = append(w.joiners, reply)
	}
}
