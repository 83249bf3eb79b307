package admission

import (
	"time"

	"hyssopreach/internal/coordination/cost"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// firstTokenOverhead is the time to first token of a short prompt on an
	// idle engine, including the network.
	firstTokenOverhead = 40 * time.Millisecond
	// memoryShare is the fraction of an engine's cache that running requests
	// may occupy. The rest is left for prompt prefixes shared by many requests.
	memoryShare = 0.85
	// maxEventGap is the limit on the average of the longest gaps between two
	// parts of an answer. An engine at or above it should receive no further
	// requests.
	maxEventGap = 280 * time.Millisecond
	// maxEventInterval is the limit on the mean interval between two events of
	// a stream. An engine at or above it should receive no further requests.
	maxEventInterval = 170 * time.Millisecond
	// silenceTimeout is the time without any activity after which an endpoint
	// with requests in flight is considered silent, in addition to the expected
	// time to first token.
	silenceTimeout = 1200 * time.Millisecond
	// silentBackoff is the time for which a silent endpoint is avoided.
	silentBackoff = time.Second
	// minReportLifetime is the lower bound of Policy.reportLifetime.
	minReportLifetime = 1500 * time.Millisecond
)

// work is the amount of work that a request causes on an endpoint, in tokens.
type work struct {
	// prefill is the number of prompt tokens that the endpoint does not have
	// in its cache and has to process before the answer begins.
	prefill int64
	// memory is the number of cache tokens that the request will occupy at its
	// end, without shared prompt prefixes.
	memory int64
}

// load is the sum of the work of the requests in flight on an endpoint.
type load struct {
	requests int
	// backlog is the number of prompt tokens that have not been processed yet.
	backlog int64
	// memory is the sum of work.memory, in tokens.
	memory int64
}

func (l *load) add(o load) {
	l.requests += o.requests
	l.backlog += o.backlog
	l.memory += o.memory
}

func (l *load) subtract(o load) {
	l.requests -= o.requests
	l.backlog -= o.backlog
	l.memory -= o.memory
}

// peerLoad is the load that a peer has placed on an endpoint, as reported at
// an instant.
type peerLoad struct {
	load
	at time.Time
	// processedAt is the instant at which the endpoint has processed the reported
	// prompts.
	processedAt time.Time
}

// newPeerLoad returns the load that a peer reports now.
func (e *endpoint) newPeerLoad(now time.Time, reported load) peerLoad {
	return peerLoad{reported, now, now.Add(maxUsefulInterval + time.Duration(float64(reported.backlog)/e.speed*float64(time.Millisecond)))}
}

// endpoint is the state that this router holds of one start of an endpoint.
type endpoint struct {
	view.Endpoint
	// own is the load that this router has placed on the endpoint.
	own load
	// peers are the loads that other routers have placed on the endpoint, and
	// peerTotal their sum.
	peers     map[view.RouterID]peerLoad
	peerTotal load
	// hash represents the endpoint in rendezvous hashing.
	hash        uint64
	promptCache promptCache
	health      health
	// speed is the prefill speed in tokens per millisecond. speedMeasured is
	// set once it is based on measurements.
	speed         float64
	speedMeasured bool
	// measured is the measured timing of the streams.
	measured measurement
	// lastActivityAt is the instant of the last activity of the endpoint, or of
	// the first request sent to it after a time without requests.
	lastActivityAt time.Time
	// silenceEndedAt is the end of the last silence that the prompts at the endpoint do
	// not explain.
	silenceEndedAt time.Time
	// pausedUntil is the instant until which the endpoint has asked to get nothing.
	pausedUntil time.Time
	coldState   coldState
	// exclusive is the number of exclusive requests in flight.
	exclusive int
	// pace is the pace of the endpoint's streams, paceState what follows from it in the
	// last scan, and slots the expected ends of this router's requests.
	paceState paceState
	pace      cost.Pace
	slots     cost.Slots
}

func newEndpoint(now time.Time) *endpoint {
	return &endpoint{peers: map[view.RouterID]peerLoad{}, promptCache: newPromptCache(), speed: defaultSpeed, lastActivityAt: now}
}

// total returns the load that all routers have placed on the endpoint, as far
// as it is known here.
func (e *endpoint) total() load {
	t := e.own
	t.add(e.peerTotal)
	return t
}

// setPeerLoad replaces the load that a peer has placed on the endpoint. A load
// of zero requests removes the entry.
func (e *endpoint) setPeerLoad(from view.RouterID, l peerLoad) {
	e.peerTotal.subtract(e.peers[from].load)
	if l.requests == 0 {
		delete(e.peers, from)
		return
	}
	e.peers[from] = l
	e.peerTotal.add(l.load)
}

// expirePeers removes the loads that peers reported before the given instant.
func (e *endpoint) expirePeers(before time.Time) {
	for id, l := range e.peers {
		if l.at.Before(before) {
			e.setPeerLoad(id, peerLoad{})
		}
	}
}

// processPeers removes the backlogs that peers reported and that have been processed
// since. In a large fleet the next reports are seconds away. Until then all routers
// would avoid an endpoint that has long been free, and use the same other ones instead
// (Mitzenmacher, How useful is old information?, 2000).
func (e *endpoint) processPeers(now time.Time) {
	if e.peerTotal.backlog == 0 {
		return
	}
	for id, l := range e.peers {
		if l.backlog > 0 && !now.Before(l.processedAt) {
			l.backlog = 0
			e.setPeerLoad(id, l)
		}
	}
}

// retainPeers removes the loads of peers that are not among the routers.
func (e *endpoint) retainPeers(routers map[view.RouterID]bool) {
	for id := range e.peers {
		if !routers[id] {
			e.setPeerLoad(id, peerLoad{})
		}
	}
}

// fits reports whether the endpoint under load t has a free slot and enough
// memory for the work. Memory is not checked on an idle endpoint.
func (e *endpoint) fits(t load, w work) bool {
	if e.Slots > 0 && t.requests >= e.Slots {
		return false
	}
	if e.MemoryTokens > 0 && t.requests > 0 && float64(t.memory+w.memory) > memoryShare*float64(e.MemoryTokens) {
		return false
	}
	return true
}

// timing returns the timing of the endpoint's streams under load t. An endpoint
// that runs requests but has not been measured lately is taken for as fast as the
// mean of its pool.
func (e *endpoint) timing(now time.Time, t load, mean timing) timing {
	if t.requests == 0 {
		return timing{}
	}
	if measured, ok := e.measured.value(now); ok {
		return measured
	}
	return mean
}

// timeToFirstToken returns the expected time to the first token of an answer
// before which the endpoint has to process the given number of prompt tokens.
func (e *endpoint) timeToFirstToken(tokens int64) time.Duration {
	return firstTokenOverhead + time.Duration(float64(tokens)/e.speed*float64(time.Millisecond))
}

// start adds a request to the endpoint's load.
func (e *endpoint) start(now time.Time, r *running) {
	if e.own.requests == 0 {
		e.lastActivityAt = now
	}
	e.own.add(load{1, r.work.prefill, r.work.memory})
	e.promptCache.insert(now, r.request.Prompt)
	if r.request.Exclusive {
		e.exclusive++
	}
}

// release removes a request from the endpoint's load.
func (e *endpoint) release(r *running) {
	e.own.requests--
	e.own.memory -= r.work.memory
	if !r.firstTokenSeen {
		e.own.backlog -= r.work.prefill
	}
	if r.request.Exclusive {
		e.exclusive--
	}
}

// silent reports whether an endpoint that is not avoided has shown no activity for
// too long while it has requests of this router in flight.
func (e *endpoint) silent(now time.Time) bool {
	return e.inactive(now, e.own.backlog) && !e.health.avoided(now)
}

// inactive is like silent, also while the endpoint is avoided, for an endpoint that has
// the given number of prompt tokens to process.
func (e *endpoint) inactive(now time.Time, tokens int64) bool {
	return e.own.requests > 0 && now.Sub(e.lastActivityAt) > silenceTimeout+e.timeToFirstToken(tokens)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// workOf returns the work that a request with the prompt causes on the
// endpoint.
func (e *endpoint) workOf(now time.Time, p *schedule.Prompt) work {
	if p == nil {
		return work{}
	}
	cachedTokens := e.promptCache.cachedTokens(now, p)
	return work{prefill: p.InputTokens - cachedTokens, memory: p.InputTokens - sharedPrefixTokens(p) + p.OutputTokens}
}
