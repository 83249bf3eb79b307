package admission

import (
	"time"
)

const (
	// bytePrice is the time that is added to the score of an endpoint in another failure
	// domain for each byte of the request and of the answer. A request of 2,500 bytes
	// costs as much as a call without a prompt; see otherDomainPenalty.
	bytePrice = 4 * time.Microsecond
	// requestBytes is the size of a request without its prompt, and answerTokenBytes the
	// size of a token of the answer, including its share of the event around it.
	requestBytes, answerTokenBytes = 512, 4
	// paceLifetime is the time for which a paceState is used. Samples and moments change
	// little meanwhile.
	paceLifetime = scanInterval
)

// paceState is the pace of an endpoint in a period of paceLifetime, which has a number,
// under a number of requests.
type paceState struct {
	period, requests int
	// interval is the expected time between two events of one more stream.
	interval time.Duration
	// fixed is the time that is added to the score of every request: the delay by a
	// moment of slowness, and the price of a slot.
	fixed time.Duration
}

// paceStateOf returns the pace of the endpoint under the load. It is reused for requests
// that arrive in the same period.
//
// A slot costs the time of a mean answer times the square of the part of the slots that
// are in use. With this price the last slots of fast engines are left to requests that
// gain more than others by them, those with long answers, while engines without load cost
// nothing.
func (l *pool) paceStateOf(now time.Time, e *endpoint, t *load) *paceState {
	s := &e.paceState
	if s.requests == t.requests && s.period == l.paces.period {
		return s
	}
	pace := &l.paces.pace
	used := float64(t.requests) / float64(max(e.Slots, 1))
	price := l.paces.meanEvents * float64(pace.MeanInterval()) * used * used
	*s = paceState{
		period: l.paces.period, requests: t.requests,
		interval: pace.Interval(&e.pace, t.requests+1),
		fixed:    e.pace.MomentDelay(now) + time.Duration(price),
	}
	return s
}

// endChoice is the choice of an endpoint for a request by the expected end of its answer,
// among the endpoints where it can be started now and its shared prefix is cached.
type endChoice struct {
	// acts is set while the choice counts; the other fields are zero otherwise.
	acts   bool
	events float64
	// bytePenalty is added to the score of endpoints in other failure domains.
	bytePenalty time.Duration
	// ownTokens is the length of the prompt without the shared prefix. An endpoint that has
	// to process more has not cached that, and is no candidate.
	ownTokens int64
	found     bool
	best      candidate
	score     time.Duration
}

// newEndChoice returns a choice for the request without candidates.
func (l *pool) newEndChoice(now time.Time, w *queuedRequest) endChoice {
	prompt := w.request.Prompt
	if prompt == nil || !l.paces.byEnd.On() {
		return endChoice{}
	}
	if now.Sub(l.paces.periodAt) >= paceLifetime {
		l.paces.period, l.paces.periodAt = l.paces.period+1, now
	}
	tokens := w.estimate.Mean()
	b := endChoice{acts: true, events: tokens / max(l.tokensPerEvent, 1), ownTokens: max(prompt.InputTokens-sharedPrefixTokens(prompt), 0)}
	b.bytePenalty = time.Duration(requestBytes+b.ownTokens+int64(answerTokenBytes*tokens)) * bytePrice
	return b
}

// chooseByEnd returns the endpoint for the request. It is that of choose, unless choices
// depend on the expected end: then it is the endpoint with the lowest expected end of those
// where the request can be started and its shared prefix is cached, if there is one. A request that can't be started on the endpoint of
// choose waits for it as before, since its prefix is cached there or no other one has
// room, unless slow streams are the reason. Of engines that differ, a slow one is
// saturated in a moment of slowness, and the request would be refused beside idle engines.
func (p *Policy) chooseByEnd(now time.Time, l *pool, w *queuedRequest, states []endpointState, capacityShare float64) (candidate, bool) {
	w.byEnd = l.newEndChoice(now, w)
	best, found := p.choose(now, l, w, states, capacityShare, false)
	if found && w.byEnd.found && (best.startNow || best.timing.saturation() >= capacityShare) {
		return w.byEnd.best, true
	}
	return best, found
}

// consider compares a candidate with the best one so far, if the choice acts.
func (b *endChoice) consider(p *Policy, now time.Time, l *pool, w *queuedRequest, c *candidate, s *endpointState, capacityShare float64) {
	if b.acts {
		b.compare(p, now, l, w, c, s, capacityShare)
	}
}

// compare compares a candidate with the best one so far. The score is that of the
// candidate, which includes the time to the first token, with the time of the answer, the
// price of the slot and the bytes between failure domains added.
func (b *endChoice) compare(p *Policy, now time.Time, l *pool, w *queuedRequest, c *candidate, s *endpointState, capacityShare float64) {
	if c.work.prefill > b.ownTokens {
		// The shared prefix would have to be processed again. What the request gains by a
		// faster engine, another one loses that finds the slot taken.
		return
	}
	pace := l.paceStateOf(now, c.endpoint, &s.load)
	score := c.score + time.Duration(b.events*float64(pace.interval)) + pace.fixed
	if p.domain != c.endpoint.FailureDomain {
		score += b.bytePenalty
	}
	if b.found && score >= b.score || !p.canStart(now, w, c, capacityShare) {
		return
	}
	b.best, b.score, b.found = *c, score, true
	b.best.startNow = true
}
