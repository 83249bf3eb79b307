package claims

import (
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
)

// stage is the progress of a request at one router. The stages from
// stageFinished on are final.
type stage uint8

const (
	stageClaiming stage = iota
	stageQueued
	stageRunning
	// stageJoined means that the router waits for the holder of the key.
	stageJoined
	stageFinished
	// stageUnsent means that the router has not sent the request to the
	// endpoint and will not send it under this claim.
	stageUnsent
	// stageUnknown means that the request may have run at another router.
	stageUnknown
)

// job is the handling of one request by one router.
type job struct {
	request   *request
	id        claim.ID
	startedAt time.Time
	deadline  time.Time
	stage     stage
	// refused is set once the request has been refused as not run.
	refused bool
	// attempts are the sends that wait for the answer.
	attempts []*attempt
	// joiners are the queries of other routers that wait for the final stage.
	joiners []func(stage)
}

// arrive receives a request. A finished request is answered at once. If the
// request is in progress at this router, the attempt waits for the same answer.
// Otherwise the router claims the request in a new job.
func (r *router) arrive(a *attempt) {
	j := r.byKey[a.request.key]
	switch {
	case j == nil || j.stage == stageUnsent || j.stage == stageUnknown:
		j = &job{request: a.request, startedAt: r.w.clock.now, deadline: r.w.clock.now.Add(minDeadline + r.w.randomUpTo(deadlineRange))}
		j.attempts = append(j.attempts, a)
		r.byKey[a.request.key] = j
		r.startClaim(j, a.first)
	case j.stage == stageFinished:
		r.w.answer(r, a, coordination.OutcomeRan)
	default:
		j.attempts = append(j.attempts, a)
	}
}

// startClaim requests a claim under a new ID.
func (r *router) startClaim(j *job, first bool) {
	j.id = r.w.newID()
	j.stage = stageClaiming
	r.byID[j.id] = j
	r.claim(coordination.Begin{
		Claim: claim.Claim{
			ID: j.id, Key: j.request.key, BodyHash: 1,
			Holder: claim.Holder{Router: string(r.id), Incarnation: r.incarnation},
		},
		Deadline: j.deadline,
		First:    first,
	})
}

// cancel removes an attempt whose caller has disconnected. When the last
// attempt is removed, a job that has not been sent to the endpoint is
// cancelled; a job that has been sent continues.
func (r *router) cancel(a *attempt) {
	j := r.byKey[a.request.key]
	if j == nil {
		return
	}
	remaining := j.attempts[:0]
	for _, other := range j.attempts {
		if other != a {
			remaining = append(remaining, other)
		}
	}
	j.attempts = remaining
	if len(remaining) == 0 && (j.stage == stageClaiming || j.stage == stageQueued) {
		r.end(j, stageUnsent)
		r.claim(coordination.Unsent{ID: j.id})
	}
}

// enqueue simulates the wait for capacity, and then sends the request to the
// endpoint or refuses it.
func (r *router) enqueue(j *job) {
	if j == nil || j.stage != stageClaiming {
		return
	}
	r.w.report.recordAddedLatency(r.w.clock.now.Sub(j.startedAt))
	j.stage = stageQueued
	id := j.id
	r.schedule(r.w.randomUpTo(maxQueueTime), func() {
		if j.stage != stageQueued || j.id != id {
			return
		}
		if r.w.chance(r.w.faults.notScheduled) || !r.w.clock.now.Before(j.deadline) {
			r.refuse(j, coordination.OutcomeNotRun)
			r.claim(coordination.Unsent{ID: id})
			return
		}
		j.stage = stageRunning
		r.claim(coordination.Sent{ID: id})
		r.w.runAtEndpoint(j, r.bindToIncarnation(func() { r.finish(j) }))
	})
}

func (r *router) finish(j *job) {
	attempts := j.attempts
	r.end(j, stageFinished)
	for _, a := range attempts {
		r.w.answer(r, a, coordination.OutcomeRan)
	}
}

// refuse ends a job that this router will not send to the endpoint.
func (r *router) refuse(j *job, outcome coordination.Outcome) {
	if j == nil || j.stage >= stageFinished {
		return
	}
	attempts := j.attempts
	if outcome == coordination.OutcomeNotRun {
		j.refused = true
	}
	end := stageUnsent
	if j.stage == stageJoined {
		end = stageUnknown
	}
	r.end(j, end)
	for _, a := range attempts {
		r.w.answer(r, a, outcome)
	}
}

// end sets the final stage of a job and reports it to the joiners.
func (r *router) end(j *job, s stage) {
	joiners := j.joiners
	j.stage, j.attempts, j.joiners = s, nil, nil
	for _, notify := range joiners {
		notify(s)
	}
}

// join waits, until the deadline, for the answer of the router that holds the
// key.
func (r *router) join(j *job, o coordination.Join) {
	if j == nil || j.stage != stageClaiming {
		return
	}
	j.stage = stageJoined
	id := j.id
	r.schedule(j.deadline.Sub(r.w.clock.now), func() {
		if j.stage == stageJoined && j.id == id {
			r.refuse(j, coordination.OutcomeUnknown)
		}
	})
	r.w.queryHolder(r, o, func(s stage) {
		if j.stage == stageJoined && j.id == id {
			r.handleJoinResult(j, s)
		}
	})
}

func (r *router) handleJoinResult(j *job, s stage) {
	switch s {
	case stageFinished:
		r.finish(j)
	case stageUnsent:
		r.schedule(reclaimDelay, func() {
			if j.stage == stageJoined {
				r.startClaim(j, false)
			}
		})
	default:
		r.refuse(j, coordination.OutcomeUnknown)
	}
}

// answerQuery answers another router's query for the final stage of the
// request that holds a claim.
func (r *router) answerQuery(id claim.ID, incarnation uint64, reply func(stage)) {
	j := r.byID[id]
	switch {
	case j == nil || r.incarnation != incarnation:
		reply(stageUnknown)
	case j.id != id || j.stage == stageUnsent:
		// The claim was cancelled, or it was lost and the job has continued
		// under another claim. A late append can still have made this claim
		// the holder of the key, so it is released.
		r.claim(coordination.ReleaseOrphan{Claim: claim.Claim{ID: id, Key: j.request.key}})
		reply(stageUnsent)
	case j.stage >= stageFinished:
		reply(j.stage)
	default:
		j.joiners = append(j.joiners, reply)
	}
}
