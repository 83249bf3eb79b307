package admission

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// firstOverhead is the time to the first token of a short prompt at an
	// idle engine, network included.
	firstOverhead = 40 * time.Millisecond
	// unstatedSpeed is the reading speed that is assumed of an engine until
	// one is stated or learnt, in tokens per millisecond.
	unstatedSpeed = 40.0
	// statedFactor is how much faster than its stated share of a pool's work
	// an engine reads prompts while it does nothing else.
	statedFactor = 2
	// minSpeed and maxSpeed bound what is learnt, in tokens per millisecond.
	minSpeed, maxSpeed = 5.0, 400.0
	// learnWeight is the weight of one observation in a moving average.
	learnWeight = 0.1
	// learnTokens is the least work from which a speed can be told.
	learnTokens = 2000
	// memoryShare is the part of an engine's memory that running requests may
	// take; the rest keeps the prompt parts that many of them begin with.
	memoryShare = 0.85
	// pauseLimit is the pause between two parts of its answers above which an
	// engine gets no more work.
	pauseLimit = 280 * time.Millisecond
	// paceLimit is the same for the mean time between two events of a stream.
	paceLimit = 170 * time.Millisecond
	// silentAfter is the time without a sign of life from an endpoint that
	// runs requests after which it is taken for silent.
	silentAfter = 1200 * time.Millisecond
	// silentPause is the time for which a silent endpoint is avoided.
	silentPause = time.Second
	// peerLife is the time for which a peer's pulse counts.
	peerLife = 1500 * time.Millisecond
)

// work is what a request asks of an endpoint, in tokens.
type work struct {
	// unread are the tokens of the prompt that the endpoint has to read.
	unread int64
	// memory is what the request will hold in the end.
	memory int64
}

// load is what runs at an endpoint.
type load struct {
	requests int
	// backlog are tokens of prompts that haven't been read yet.
	backlog int64
	memory  int64
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

// peerLoad is what a peer keeps at an endpoint.
type peerLoad struct {
	load
	at time.Time
}

// endpoint is one start of an endpoint as this router knows it.
type endpoint struct {
	view.Endpoint
	own   load
	peers map[view.RouterID]peerLoad
	// others is the sum of what peers keep here.
	others load
	// hash stands for the endpoint in rendezvous hashing.
	hash     uint64
	parts    parts
	standing standing
	// speed is in tokens per millisecond; learnt is set once it comes from
	// observation.
	speed  float64
	learnt bool
	pause  average
	// pace is the mean time between two events of its streams.
	pace average
	// heardAt is when the endpoint last gave a sign of life, or when work was
	// first sent to it after a time without any.
	heardAt time.Time
	// exclusive is the number of requests here that run alone of their kind.
	exclusive int
}

func newEndpoint(now time.Time) *endpoint {
	return &endpoint{peers: map[view.RouterID]peerLoad{}, parts: newParts(), speed: unstatedSpeed, heardAt: now}
}

// expect takes the stated work of the endpoint, in tokens per second, for as
// long as nothing has been observed.
func (e *endpoint) expect(stated float64) {
	if !e.learnt && stated > 0 {
		e.speed = min(max(statedFactor*stated/1000, minSpeed), maxSpeed)
	}
}

// learn takes the time to the first token of a request.
func (e *endpoint) learn(r *running, took time.Duration) {
	reading := took - firstOverhead
	if r.ahead < learnTokens || reading <= 0 {
		return
	}
	seen := min(max(float64(r.ahead)/milliseconds(reading), minSpeed), maxSpeed)
	e.speed += learnWeight * (seen - e.speed)
	e.learnt = true
}

// total is what runs at the endpoint, as far as it is known.
func (e *endpoint) total() load {
	t := e.own
	t.add(e.others)
	return t
}

// tell replaces what a peer keeps at the endpoint; zero requests stand for
// nothing.
func (e *endpoint) tell(from view.RouterID, l peerLoad) {
	e.others.subtract(e.peers[from].load)
	if l.requests == 0 {
		delete(e.peers, from)
		return
	}
	e.peers[from] = l
	e.others.add(l.load)
}

// expire forgets what peers told that have been silent for too long.
func (e *endpoint) expire(now time.Time) {
	for id, l := range e.peers {
		if now.Sub(l.at) > peerLife {
			e.tell(id, peerLoad{})
		}
	}
}

// keep forgets what peers told that are not among the routers.
func (e *endpoint) keep(routers map[view.RouterID]bool) {
	for id := range e.peers {
		if !routers[id] {
			e.tell(id, peerLoad{})
		}
	}
}

// fits reports whether the endpoint has a slot and memory for the work.
func (e *endpoint) fits(t load, w work) bool {
	if e.Slots > 0 && t.requests >= e.Slots {
		return false
	}
	if e.MemoryTokens > 0 && t.requests > 0 && float64(t.memory+w.memory) > memoryShare*float64(e.MemoryTokens) {
		return false
	}
	return true
}

// strain is how slow the endpoint's streams are against what they may be; from
// 1 on it should get no more work.
func (e *endpoint) strain(t load) float64 {
	if t.requests == 0 {
		return 0
	}
	return max(e.pause.value/float64(pauseLimit), e.pace.value/float64(paceLimit))
}

// begins is the time after which the endpoint is expected to begin its answer
// once the given tokens have been read.
func (e *endpoint) begins(tokens int64) time.Duration {
	return firstOverhead + time.Duration(float64(tokens)/e.speed*float64(time.Millisecond))
}

// start puts a request on the endpoint.
func (e *endpoint) start(now time.Time, r *running) {
	if e.own.requests == 0 {
		e.heardAt = now
	}
	e.own.add(load{1, r.work.unread, r.work.memory})
	e.parts.use(now, r.request.Prompt)
	if r.request.Exclusive {
		e.exclusive++
	}
}

// release takes a request off the endpoint.
func (e *endpoint) release(r *running) {
	e.own.requests--
	e.own.memory -= r.work.memory
	if !r.begun {
		e.own.backlog -= r.work.unread
	}
	if r.request.Exclusive {
		e.exclusive--
	}
}

// silent reports whether nothing has come for too long from an endpoint at
// which requests run.
func (e *endpoint) silent(now time.Time) bool {
	if e.own.requests == 0 || now.Before(e.standing.avoidUntil) {
		return false
	}
	return now.Sub(e.heardAt) > silentAfter+e.begins(e.own.backlog)
}

// average is an exponential moving average.
type average struct{ value float64 }

func (a *average) add(sample float64) { a.value += learnWeight * (sample - a.value) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// workOf is what a request asks of the endpoint.
func (e *endpoint) workOf(now time.Time, p *schedule.Prompt) work {
	if p == nil {
		return work{}
	}
	held := e.parts.held(now, p)
	return work{unread: p.InputTokens - held, memory: p.InputTokens - sharedTokens(p) + p.OutputTokens}
}
