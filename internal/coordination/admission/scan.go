package admission

import (
	"fmt"
	"math"
	"slices"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// noEndpointRetryDelay is the time after which a caller may retry when no
	// endpoint is known.
	noEndpointRetryDelay = time.Second
	// engineQueueShare is the fraction of its objective within which the first
	// token must be expected if the request would queue at the engine. If more
	// time is expected, the request waits in the router's queue instead, where
	// requests of other organisations can still be served first.
	engineQueueShare = 0.55
	// maxStallShare is the fraction of the longest accepted pause of a stream for which
	// an engine may be busy with the prompts ahead of a request that is started there.
	// Engines process prompts between the tokens of running streams, all of which
	// stall meanwhile. The rest of the pause allows for the stream's own pace and for
	// prompts that other routers send at the same time.
	maxStallShare = 0.5
	// minCapacityShare is the lower bound of capacityShareFor. It limits how
	// far an organisation above its fair rate is held back, so that capacity
	// that no other organisation requests is used.
	minCapacityShare = 0.45
	// maxCapacityShare is the upper bound of capacityShareFor. Streams of an engine
	// that is saturated to this degree still meet the callers' limit on the pause
	// between two events.
	maxCapacityShare = 1.25
	// maxExcessWaitShare is the fraction of its objective after which a request
	// is refused if its organisation is above the fair rate or the best
	// endpoint is saturated.
	maxExcessWaitShare = 0.125
	// maxQueueWaitShare is the fraction of its objective after which a request
	// is refused if no endpoint has capacity for it.
	maxQueueWaitShare = 0.3
	// startMargin is the fraction of the time left until the objective within
	// which the first token must be expected. The remainder allows for errors
	// of the estimate.
	startMargin = 0.9
	// minRetryDelay and maxRetryDelay bound the time after which a refused
	// caller may retry, without the random part.
	minRetryDelay, maxRetryDelay = 200 * time.Millisecond, 2 * time.Second
	// defaultObjective is the objective of requests that state none.
	defaultObjective = 2 * time.Second
)

// scan examines the queue of the pool in order. It starts the requests for
// which an endpoint is available, and refuses those whose answer can't begin in
// time.
func (p *Policy) scan(now time.Time, l *pool) {
	if l == nil || l.queue.len() == 0 {
		return
	}
	if l.queue.len() > 1 && now.Sub(l.scannedAt) < l.minScanInterval() {
		l.scanPending = true
		return
	}
	l.scannedAt, l.scanPending, l.coldWaiting = now, false, 0
	shares := newShares(p.usage.fleetRates(now), l.throughput(now))
	l.keepBound(now, &shares, p.boundLifetime())
	p.logBound(now, l, &shares)
	l.queue.order(shares.rates, shares.fairRate)
	meanTiming := l.meanTiming(now)
	states := make([]endpointState, len(l.endpoints))
	for i, e := range l.endpoints {
		load := e.total()
		states[i] = endpointState{load, e.timing(now, load, meanTiming)}
	}
	// queueTime is the time that the remaining requests earlier in the queue
	// will take.
	queueTime := time.Duration(0)
	speed := p.ownSpeedShare(now, l)
	remaining := l.queue.requests[:0]
	for _, w := range l.queue.requests {
		if !p.mayStart(now, w, &shares) {
			p.refuseHeld(now, l, w, &shares)
			continue
		}
		capacityShare := shares.capacityShare(&w.request)
		best, found := p.chooseByEnd(now, l, w, states, capacityShare)
		if !found && p.refuseClosed(now, l, w) {
			continue
		}
		if found && !w.judged && w.request.Prompt != nil {
			w.judged = true
			w.class.add(best.work.prefill)
		}
		var cause refusalCause
		if !best.startNow {
			best, cause = p.spillOrRefuse(now, l, w, states, best, found, queueTime, capacityShare)
		}
		switch {
		case found && best.startNow:
			p.start(now, w, best)
			p.paceStarts(now, w, &shares)
			load := best.endpoint.total()
			states[slices.Index(l.endpoints, best.endpoint)] = endpointState{load, best.endpoint.timing(now, load, meanTiming)}
		default:
			if cause != "" {
				detail := fmt.Sprintf("cause=%s,%s,%s", cause, refusalDetail(now, w, best, found, queueTime, capacityShare, &shares), p.leastLoaded(now, l, states))
				p.refuse(now, w, best, queueTime, detail)
				continue
			}
			if w.request.Prompt != nil {
				queueTime += time.Duration(float64(best.work.prefill) / speed * float64(time.Millisecond))
			}
			remaining = append(remaining, w)
		}
	}
	clear(l.queue.requests[len(remaining):])
	l.queue.requests = remaining
}

// spillOrRefuse judges a request that can't be started on the best candidate. It returns
// why the request must be refused, if it must, or another candidate on which it can be
// started instead. A request waits for the endpoint that has its prefix cached for as
// long as another one would take to process the prefix, and is not refused there while
// another one has room. Requests of organisations above their share are: they would find
// room only at endpoints without much load, and have most prefixes processed again.
func (p *Policy) spillOrRefuse(now time.Time, l *pool, w *queuedRequest, states []endpointState, best candidate, found bool, queueTime time.Duration, capacityShare float64) (candidate, refusalCause) {
	cause := p.mustRefuse(now, l, w, best, found, queueTime, capacityShare < 1)
	if !found || capacityShare < 1 || w.request.Prompt == nil {
		return best, cause
	}
	if cause == "" && now.Sub(w.arrived) < l.busyTime(best.endpoint, sharedPrefixTokens(w.request.Prompt)) {
		return best, ""
	}
	if other, _ := p.choose(now, l, w, states, capacityShare, true); other.startNow {
		return other, ""
	}
	return best, cause
}

// ownSpeedShare returns this router's share of the prefill speed of the pool,
// in tokens per millisecond. The share follows the part of the fleet's demand
// that this router receives, since all callers may use one router, and is at
// least an even share.
func (p *Policy) ownSpeedShare(now time.Time, l *pool) float64 {
	sum := 0.0
	for _, e := range l.endpoints {
		if p.usable(now, e) {
			sum += e.speed
		}
	}
	even := 1 / float64(max(len(p.view.Routers), 1))
	return max(sum, minSpeed) * max(p.usage.ownShare, even)
}

// meanTiming returns the mean timing of the endpoints that have been measured
// lately; zero if there are none.
func (l *pool) meanTiming(now time.Time) timing {
	var sum timing
	count := time.Duration(0)
	for _, e := range l.endpoints {
		if measured, ok := e.measured.value(now); ok {
			sum.eventInterval += measured.eventInterval
			sum.longestGap += measured.longestGap
			count++
		}
	}
	return timing{sum.eventInterval / max(count, 1), sum.longestGap / max(count, 1)}
}

// objective returns the total time from the arrival of the request until its
// answer should begin, and the time remaining of it.
func (w *queuedRequest) objective(now time.Time) (total, remaining time.Duration) {
	at := w.request.Objective
	if at.IsZero() {
		at = w.arrived.Add(defaultObjective)
	}
	if at.After(w.request.Deadline) {
		at = w.request.Deadline
	}
	return at.Sub(w.arrived), at.Sub(now)
}

// capacityShareFor returns the fraction of an engine's accepted load up to
// which an organisation's requests are started. It is 1 for an organisation at
// the fair rate, and falls the further the organisation is above it. Of two
// organisations above the fair rate, the one that has received less thus finds
// capacity first. It is above 1 for an organisation below the fair rate, for
// which others, whose requests may have reached the engines first, make room.
func capacityShareFor(received, fairRate float64) float64 {
	if received <= 0 || math.IsInf(fairRate, 1) {
		return 1
	}
	return min(max(minCapacityShare, math.Sqrt(fairRate/received)), maxCapacityShare)
}

// canStart reports whether the request should be started on the candidate now.
// On an endpoint without a backlog only saturation prevents the start. The length
// of the request's own prompt does not matter; see classPrefill. The length of its
// answer matters only if the answer can't end by the deadline.
func (p *Policy) canStart(now time.Time, w *queuedRequest, c *candidate, capacityShare float64) bool {
	if w.request.Prompt == nil {
		return true
	}
	total, remaining := w.objective(now)
	if c.timing.saturation() >= capacityShare {
		return false
	}
	unqueued := c.endpoint.timeToFirstToken(w.class.tokens(c.work.prefill))
	if w.request.Resumes {
		// The caller takes what it can still get of the answer, so the expected end
		// does not matter. Its objective is the time until it gives up: a silent
		// attempt is given up only for an answer that is expected by then. If no
		// attempt is left, waiting here would not make the answer begin sooner, since
		// engines process prompts in their order, and new requests start meanwhile.
		return !w.request.StillRuns || c.classTimeToFirstToken <= max(time.Duration(startMargin*float64(remaining)), unqueued)
	}
	if c.deadlineUse >= 1 {
		return false
	}
	// A share above 1 is no right to a longer queue, which would delay the prompts
	// of others.
	if queues := c.tokensAhead > c.work.prefill; queues && w.request.MaxPause > 0 && c.busyTime > time.Duration(maxStallShare*float64(w.request.MaxPause)) {
		return false
	}
	return c.classTimeToFirstToken <= max(time.Duration(min(capacityShare, 1)*engineQueueShare*float64(total)), unqueued) &&
		c.classTimeToFirstToken <= max(time.Duration(startMargin*float64(remaining)), unqueued)
}

// refusalCause states, in the log, why a request is refused.
type refusalCause string

const (
	causeMayNotWait refusalCause = "MayNotWait"
	// causeWaited stands for a call without a prompt that has waited too long.
	causeWaited refusalCause = "Waited"
	// causeNoRoom stands for no endpoint with a free slot and memory.
	causeNoRoom        refusalCause = "NoRoom"
	causeAboveFairRate refusalCause = "AboveFairRate"
	causeSaturated     refusalCause = "Saturated"
	// causeLate stands for a class whose answers can't begin by the objective.
	causeLate refusalCause = "Late"
	// causeQueueFull stands for MaxQueuedRequests waiting requests.
	causeQueueFull refusalCause = "QueueFull"
	// causeTried stands for a continuation that has failed at every endpoint.
	causeTried refusalCause = "Tried"
	// causeBounded stands for an organisation that is held to a bound; see gap.go.
	causeBounded refusalCause = "Bounded"
)

// mustRefuse returns why a request that can't be started now must be refused,
// and an empty cause if it may wait. It must be refused if it may not wait, has
// waited for too long, or the answer to a typical request of its class can't begin
// by the objective after the queueTime of the requests before it. If found is set,
// c is the best candidate; aboveFairRate is set if the request's organisation has
// received more than the fair rate.
//
// A request that resumes an answer waits as long as its caller, whatever the load:
// a caller that has received a part of an answer loses more than a new one.
func (p *Policy) mustRefuse(now time.Time, l *pool, w *queuedRequest, c candidate, found bool, queueTime time.Duration, aboveFairRate bool) refusalCause {
	if w.request.Resumes {
		if l.allTried(w) {
			return causeTried
		}
		return ""
	}
	if !w.request.MayWait {
		return causeMayNotWait
	}
	total, remaining := w.objective(now)
	waited := now.Sub(w.arrived)
	switch {
	case w.request.Prompt == nil:
		if w.request.Deadline.Sub(now) < plainCallTime || waited > total/2 {
			return causeWaited
		}
	case !found:
		if waited > time.Duration(maxQueueWaitShare*float64(total)) {
			return causeNoRoom
		}
	case aboveFairRate && waited > time.Duration(maxExcessWaitShare*float64(total)):
		return causeAboveFairRate
	case c.saturation >= 1 && waited > time.Duration(maxExcessWaitShare*float64(total)):
		return causeSaturated
	case c.classTimeToFirstToken+queueTime > remaining:
		return causeLate
	}
	return ""
}

// allTried reports whether the request has failed at every endpoint of the pool.
func (l *pool) allTried(w *queuedRequest) bool {
	return len(l.endpoints) > 0 && !slices.ContainsFunc(l.endpoints, func(e *endpoint) bool { return !slices.Contains(w.request.Tried, e.ID) })
}

// leastLoaded states, for the log of a refusal, how much capacity the pool had:
// the number of endpoints without a prompt to process, of all usable ones, and
// the least number of tokens that any of them has to process.
func (p *Policy) leastLoaded(now time.Time, l *pool, states []endpointState) string {
	idle, usable, least := 0, 0, int64(math.MaxInt64)
	for i, e := range l.endpoints {
		if !p.usable(now, e) {
			continue
		}
		usable++
		if states[i].load.backlog <= 0 {
			idle++
		}
		least = min(least, states[i].load.backlog)
	}
	if usable == 0 {
		least = 0
	}
	return fmt.Sprintf("idle=%d/%d,least=%d", idle, usable, least)
}

// start starts the request on the candidate. In the reason, begins stands for
// the time to first token, ahead for tokensAhead, unread for the prefill, pace
// for the event interval and measured for the age of its last sample.
func (p *Policy) start(now time.Time, w *queuedRequest, c candidate) {
	r := &running{request: w.request, endpoint: c.endpoint, work: c.work, tokensAhead: c.tokensAhead, reportedAt: now, permit: p.takePermit(now, c.endpoint)}
	p.running[w.request.ID] = r
	p.expectEnd(now, w, r, &c)
	c.endpoint.start(now, r)
	p.usage.addReceived(now, w.request.Organisation, w.cost)
	p.emit(schedule.Start{
		ID: w.request.ID, Endpoint: c.endpoint.ID, SendBy: r.sendBy(now),
		Reason: fmt.Sprintf("waited=%v,begins=%v,ahead=%d,unread=%d,home=%t,speed=%.0f,pace=%v,measured=%s,output=%d%s",
			now.Sub(w.arrived).Round(time.Millisecond), c.timeToFirstToken.Round(time.Millisecond), c.tokensAhead, c.work.prefill, c.home, c.endpoint.speed,
			c.timing.eventInterval.Round(time.Millisecond),
			c.endpoint.measured.age(now), outputTokens(w.request.Prompt), w.byEnd.detail(now, r)),
	})
}

// refusalDetail returns the values that led to the refusal of a request. In
// addition to the keys of start, class stands for classTimeToFirstToken, queue for
// queueTime, strain for the saturation, deadline for deadlineUse, share for
// capacityShare, and requested, received and fair for the rates of the organisation
// and the fair rate in tokens per second; room=none states that no endpoint can run
// the request.
func refusalDetail(now time.Time, w *queuedRequest, c candidate, found bool, queueTime time.Duration, capacityShare float64, s *shares) string {
	waited := now.Sub(w.arrived).Round(time.Millisecond)
	fleet := s.rates[w.request.Organisation]
	rates := fmt.Sprintf("share=%.2f,requested=%.0f,received=%.0f,fair=%.0f", capacityShare, fleet.requested, fleet.received, s.fairRate)
	if !found {
		return fmt.Sprintf("waited=%v,room=none,%s", waited, rates)
	}
	return fmt.Sprintf("waited=%v,endpoint=%s,begins=%v,class=%v,ahead=%d,unread=%d,queue=%v,strain=%.2f,deadline=%.2f,home=%t,measured=%s,%s",
		waited, c.endpoint.ID, c.timeToFirstToken.Round(time.Millisecond), c.classTimeToFirstToken.Round(time.Millisecond), c.tokensAhead, c.work.prefill, queueTime.Round(time.Millisecond), c.saturation, c.deadlineUse, c.home,
		c.endpoint.measured.age(now), rates)
}

// RetryWhenFull returns the instant at which a caller should retry if its
// organisation has MaxQueuedRequests requests waiting. These are started or
// refused within about minRetryDelay. The jitter, 0 to 1, must be drawn for each
// caller separately.
func RetryWhenFull(now time.Time, jitter float64) time.Time {
	return now.Add(minRetryDelay + time.Duration(jitter*float64(minRetryDelay)))
}

// addUnserved counts the work of a refused request, unless its caller has returned
// with it too often.
func (p *Policy) addUnserved(now time.Time, w *queuedRequest) {
	if w.counts {
		p.usage.addUnserved(now, w.request.Organisation, w.cost)
	}
}

// refuse refuses the request. The caller may retry when the queue is expected
// to have been served, or earlier by the time that the retried request may
// itself wait: maxQueueWaitShare of the objective. A random part is added so
// that callers refused at the same time don't retry at the same time.
func (p *Policy) refuse(now time.Time, w *queuedRequest, c candidate, queueTime time.Duration, detail string) {
	p.addUnserved(now, w)
	total, _ := w.objective(now)
	delay := c.classTimeToFirstToken + queueTime - time.Duration(maxQueueWaitShare*float64(total))
	if c.endpoint == nil {
		delay = max(delay, p.slotDelay(now, w))
	}
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	delay += time.Duration(p.random.Int64N(int64(delay)/2 + 1))
	p.emit(schedule.Refusal{ID: w.request.ID, Reason: schedule.RefusalOverload, RetryAt: now.Add(delay), Detail: detail})
}
