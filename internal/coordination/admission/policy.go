package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/recovery"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// scanInterval is the time between two scans of a queue. The endpoints'
	// own queues get shorter in the meantime.
	scanInterval = 20 * time.Millisecond
	// minScanInterval is the minimum time between two scans of a queue of
	// several requests, since a scan evaluates every endpoint for each
	// request.
	minScanInterval = 4 * time.Millisecond
	// evaluationInterval is the time between two scans for each evaluation of an
	// endpoint in a scan, so that scans take at most about a hundredth of a core.
	// maxScanInterval bounds it; it is well below the shortest objective.
	evaluationInterval, maxScanInterval = 15 * time.Microsecond, 25 * time.Millisecond
	// smallPool is the number of endpoints up to which a pool is scanned every
	// minScanInterval, however many requests wait. With more endpoints the requests of one
	// organisation, MaxQueuedRequests, need more time than that.
	smallPool = int(minScanInterval / evaluationInterval / MaxQueuedRequests)
	// idleInterval is the time between two alarms while no request waits, and
	// between two checks for silent endpoints.
	idleInterval = 100 * time.Millisecond
	// peerExpiryInterval is the time between two checks for expired reports of
	// peers, a fraction of the lifetime of these reports.
	peerExpiryInterval = minReportLifetime / 3
	// MaxQueuedRequests is the maximum number of waiting requests per
	// organisation and pool, without those that are underway. It bounds the cost
	// of refusing a flood of requests.
	MaxQueuedRequests = 12
	// queueFullDetail is the detail of a refusal because of
	// MaxQueuedRequests.
	queueFullDetail = "cause=" + string(causeQueueFull)
)

// Options configure a Policy.
type Options struct {
	// Source is the source of random numbers.
	Source rand.Source
	// Recovery bounds the requests to cold endpoints. NamesPeers states whether the
	// router's settings name other routers, and Counters, if set, are counted up.
	Recovery   recovery.Bounds
	NamesPeers bool
	Counters   *recovery.Counters
	// PlacesPrompts lets prefixes have their homes in the failure domain whose routers the
	// callers of their organisation use.
	PlacesPrompts bool
	// Predictions receives the errors of predictions; nil to discard them.
	Predictions PredictionRecorder
}

// Policy is the scheduler of one router; see the package comment.
type Policy struct {
	random *rand.Rand
	view   *view.Snapshot
	// domain is the failure domain of this router.
	domain    string
	pools     map[string]*pool
	endpoints map[view.EndpointID]*endpoint
	running   map[schedule.RequestID]*running
	usage     *usage
	// loadedBy holds the endpoints on which the last reports of peers state load.
	loadedBy         map[view.RouterID][]*endpoint
	returning        returning
	nextPulseAt      time.Time
	lastPulseAt      time.Time
	nextCheckAt      time.Time
	nextPeerExpiryAt time.Time
	out              []schedule.Output
	// pauses holds the instants until which endpoints have asked to get nothing,
	// listed or not.
	pauses map[view.EndpointID]time.Time
	cold   coldLimit

	// busy is the last ProcessorUse.
	busy        float64
	homeDomains homeDomains
	// predictions are what this router has learned of the cost of requests.
	predictions predictions
}

// pool is a set of interchangeable endpoints with the queue of requests that
// wait for them.
type pool struct {
	name string
	// tokensPerSecond is the stated throughput of the whole pool, and
	// tokensPerEvent the number of tokens in one event of a stream; zero if
	// unknown.
	tokensPerSecond float64
	tokensPerEvent  float64
	endpoints       []*endpoint
	// prefillSamples are those of all endpoints; see busyTime. speed is the mean prefill
	// speed of the endpoints that this router has measured, by the given number of samples.
	prefillSamples prefillSamples
	speed          float64
	samples        int
	queue          queue
	// classes hold the mean prefill of each class of requests.
	classes map[string]*classPrefill
	// scannedAt is the instant of the last scan of the queue. scanPending is
	// set if a scan was due since then and was put off because of
	// minScanInterval.
	scannedAt   time.Time
	scanPending bool
	lastBound   lastBound
	// bounded is set while a bound is logged as being in force; see logBound.
	bounded        bool
	nextBoundLogAt time.Time
	// coldWaiting is the number of requests of a scan that wait for a permit at a cold
	// endpoint.
	coldWaiting int
	// paces is what is known of the pace of the endpoints.
	paces poolPaces
	// coldPromised are the instants, still to come, at which refused callers were told to
	// return for a permit.
	coldPromised []time.Time
}

// nextScan returns the instant at which the queue should be scanned again.
func (l *pool) nextScan() time.Time {
	if l.scanPending {
		return l.scannedAt.Add(l.minScanInterval())
	}
	return l.scannedAt.Add(max(scanInterval, l.minScanInterval()))
}

// minScanInterval returns the minimum time between two scans of the queue. A scan
// evaluates every endpoint for each waiting request, so the time grows with both in a
// large pool: at a router of little processor time, scans would take a third of it in a
// flood.
func (l *pool) minScanInterval() time.Duration {
	if len(l.endpoints) <= smallPool {
		return minScanInterval
	}
	evaluations := l.queue.len() * len(l.endpoints)
	return min(max(minScanInterval, time.Duration(evaluations)*evaluationInterval), maxScanInterval)
}

// running is a request that has been started and has not ended.
type running struct {
	request  schedule.Request
	endpoint *endpoint
	work     work
	// permit is that of a request that was started at a cold endpoint.
	permit recovery.Permit
	// tokensAhead is the number of prompt tokens that the endpoint was expected
	// to process before the answer begins, those of this request included.
	tokensAhead    int64
	firstTokenSeen bool
	// reportedAt is the instant of the last progress, or of the start.
	reportedAt time.Time
	// prediction is what was expected of the request at its start.
	prediction prediction
}

// New returns a policy that knows no endpoints until the first Change.
func New(o Options) *Policy {
	if o.Counters == nil {
		o.Counters = &recovery.Counters{}
	}
	return &Policy{
		cold:   coldLimit{bounds: o.Recovery, namesPeers: o.NamesPeers, counters: o.Counters},
		random: rand.New(o.Source), view: &view.Snapshot{}, pools: map[string]*pool{},
		endpoints: map[view.EndpointID]*endpoint{}, running: map[schedule.RequestID]*running{}, pauses: map[view.EndpointID]time.Time{}, usage: newUsage(), loadedBy: map[view.RouterID][]*endpoint{},
		predictions: newPredictions(o.Predictions), homeDomains: homeDomains{enabled: o.PlacesPrompts},
	}
}

// Step processes one input; see schedule.Scheduler.
func (p *Policy) Step(now time.Time, in schedule.Input) []schedule.Output {
	p.out = p.out[:0]
	if p.cold.limiter != nil {
		p.cold.limiter.Advance(now)
	}
	switch in := in.(type) {
	case schedule.Arrival:
		p.arrive(now, &in.Request)
	case schedule.Departure:
		p.depart(in.ID)
	case schedule.Progress:
		p.progress(now, in)
	case schedule.Completion:
		p.complete(now, in)
	case schedule.Delivery:
		if m, ok := in.Message.(*schedule.Pulse); ok {
			p.receivePulse(now, in.From, m)
			if p.cold.limiter != nil {
				p.cold.limiter.Heard(now, in.From)
			}
		}
	case schedule.Rejections:
		for i := range in.Requests {
			if r := &in.Requests[i]; p.returning.counts(now, r.Organisation, r.Identity) {
				p.usage.addRequested(now, r.Organisation, r.Work)
				p.usage.addUnserved(now, r.Organisation, r.Work)
			}
		}
		p.advancePulse(now, in.Requests)
		p.emitRates(now)
	case schedule.ProcessorUse:
		p.busy = in.Busy
	case schedule.Pause:
		p.pause(now, in)
	case schedule.Change:
		p.change(now, in.View)
	case schedule.Alarm:
		for _, l := range p.pools {
			p.scan(now, l)
		}
	case schedule.Load:
	}
	p.checkEndpoints(now)
	p.sendPulse(now)
	p.wake(now)
	return p.out
}

// wake requests an alarm for the next scan of a queue.
func (p *Policy) wake(now time.Time) {
	next := now.Add(idleInterval)
	for _, l := range p.pools {
		if at := l.nextScan(); l.queue.len() > 0 && at.Before(next) {
			next = at
		}
	}
	p.emit(schedule.Wake{At: next})
}

func (p *Policy) emit(o schedule.Output) { p.out = append(p.out, o) }

// emitRates states what organisations receive from the fleet.
func (p *Policy) emitRates(now time.Time) {
	rates := p.usage.fleetRates(now)
	received := make(map[string]float64, len(rates))
	for name, o := range rates {
		received[name] = o.received
	}
	p.emit(schedule.Rates{Received: received})
}

func (p *Policy) arrive(now time.Time, r *schedule.Request) {
	l := p.pools[r.Pool]
	if l == nil && r.Resumes {
		l = p.addPool(r.Pool)
	}
	if l == nil || len(l.endpoints) == 0 && !r.Resumes {
		p.emit(schedule.Refusal{ID: r.ID, Reason: schedule.RefusalNoEndpoint, RetryAt: now.Add(noEndpointRetryDelay)})
		return
	}
	w := &queuedRequest{request: *r, arrived: now}
	if r.Prompt != nil {
		w.class = l.class(r.Class)
		w.counts = p.returning.counts(now, r.Organisation, r.Prompt.Identity)
		w.cost = Cost(r.Prompt)
		w.prefixKey = r.Prompt.SharedPart()
		p.predict(l, w)
	}
	if w.counts {
		p.usage.addRequested(now, r.Organisation, w.cost)
	}
	if !r.Underway() && l.queue.countOf(r.Organisation) >= MaxQueuedRequests {
		// The request would only wait behind the organisation's other requests,
		// which are started or refused before it.
		p.addUnserved(now, w)
		p.emit(schedule.Refusal{ID: r.ID, Reason: schedule.RefusalOverload, RetryAt: RetryWhenFull(now, p.random.Float64()), Detail: queueFullDetail})
		return
	}
	l.queue.add(w)
	p.scan(now, l)
}

func (p *Policy) depart(id schedule.RequestID) {
	for _, l := range p.pools {
		if l.queue.remove(id) {
			return
		}
	}
}

func (p *Policy) progress(now time.Time, in schedule.Progress) {
	r := p.running[in.ID]
	if r == nil {
		return
	}
	e := r.endpoint
	r.prediction.received(in)
	if e.inactive(now, e.total().backlog) {
		e.silenceEndedAt = now
	}
	// The time since the last progress of a stream includes a silence of its endpoint
	// that has ended since, which does not show how fast the endpoint is.
	afterSilence := r.reportedAt.Before(e.silenceEndedAt)
	r.reportedAt, e.lastActivityAt, e.health.silentUntil = now, now, time.Time{}
	if in.EventInterval > 0 && !in.Late && !afterSilence {
		e.measured.addOwn(now, in.EventInterval, in.LongestGap)
		p.observePace(now, e, schedule.Samples{Count: 1, EventInterval: in.EventInterval})
	}
	if r.firstTokenSeen {
		return
	}
	r.firstTokenSeen = true
	e.own.backlog -= r.work.prefill
	if l := p.pools[e.Pool]; l != nil && !in.Late {
		l.measureSpeed(r, in.FirstToken)
	}
	p.scan(now, p.pools[e.Pool])
}

func (p *Policy) complete(now time.Time, in schedule.Completion) {
	r := p.running[in.ID]
	if r == nil {
		return
	}
	delete(p.running, in.ID)
	e := r.endpoint
	e.release(r)
	p.settleCold(now, r, in)
	p.observeEnd(now, r, in)
	switch in.Result {
	case schedule.ResultNotSent, schedule.ResultRejected, schedule.ResultUnused:
		p.usage.subtractReceived(now, r.request.Organisation, r.cost())
		e.promptCache.remove(r.request.Prompt)
	}
	if in.Result == schedule.ResultNotSent && !e.takesRequests(now) {
		// The endpoint began to leave, or asked for time, before the attempt was
		// written, which says nothing about its health.
		p.scan(now, p.pools[e.Pool])
		return
	}
	if until := e.health.record(now, in.Result); !until.IsZero() {
		p.emit(schedule.Decision{Event: "EndpointAvoided", Fields: []string{
			"Endpoint", string(e.ID), "Result", in.Result.String(), "Until", until.Format(time.RFC3339Nano),
		}})
	}
	p.scan(now, p.pools[e.Pool])
}

// cost is the work that is charged to the request's organisation, in tokens.
func (r *running) cost() float64 {
	if r.request.Prompt == nil {
		return 0
	}
	return Cost(r.request.Prompt)
}

// Cost returns the work that a request with the prompt is charged for, in tokens.
func Cost(p *schedule.Prompt) float64 {
	return float64(p.InputTokens) + outputWeight*float64(p.OutputTokens)
}

const (
	// nominalPrefillSpeed is the number of prompt tokens that an engine processes in a
	// millisecond, and nominalTokenTime the time between two tokens of a stream, in
	// milliseconds, where a rough estimate is enough.
	nominalPrefillSpeed, nominalTokenTime = 60.0, 4.5
)

// EngineMillis returns a rough estimate of the time for which a request with the prompt
// occupies a slot of an engine, in milliseconds.
func EngineMillis(p *schedule.Prompt) float64 {
	return float64(p.InputTokens)/nominalPrefillSpeed + nominalTokenTime*float64(p.OutputTokens)
}

// change replaces the view. The state of an endpoint is retained for as long
// as the view lists the same EndpointID, which identifies one start of the
// endpoint.
func (p *Policy) change(now time.Time, v *view.Snapshot) {
	p.view, p.domain = v, ""
	routers := make(map[view.RouterID]bool, len(v.Routers))
	for i := range v.Routers {
		routers[v.Routers[i].ID] = true
		if v.Routers[i].ID == v.Self {
			p.domain = v.Routers[i].FailureDomain
		}
	}
	p.homeDomains.setRouters(v)
	p.usage.fleet.retain(routers)
	maps.DeleteFunc(p.loadedBy, func(id view.RouterID, _ []*endpoint) bool { return !routers[id] })
	previous := p.endpoints
	p.endpoints = make(map[view.EndpointID]*endpoint, len(v.Endpoints))
	for _, l := range p.pools {
		l.endpoints = nil
	}
	for i := range v.Endpoints {
		listed := &v.Endpoints[i]
		l := p.pools[listed.Pool]
		if l == nil {
			l = p.addPool(listed.Pool)
		}
		e := previous[listed.ID]
		if e == nil {
			e = newEndpoint(now)
			e.pausedUntil = p.pauses[listed.ID]
		}
		e.Endpoint = *listed
		p.endpoints[listed.ID] = e
		l.endpoints = append(l.endpoints, e)
	}
	p.changeCold(now, v)
	for name, l := range p.pools {
		slices.SortFunc(l.endpoints, func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
		l.tokensPerSecond, l.tokensPerEvent = v.Pools[name].TokensPerSecond, v.Pools[name].TokensPerEvent
		for _, e := range l.endpoints {
			e.setStatedSpeed(l.tokensPerSecond / float64(len(l.endpoints)))
			e.retainPeers(routers)
			e.hash = xxhash.Sum64String(string(e.ID))
		}
		l.assumeSpeed()
		if len(l.endpoints) == 0 && l.queue.len() == 0 {
			delete(p.pools, name)
			continue
		}
		p.scan(now, l)
	}
}

func (p *Policy) addPool(name string) *pool {
	l := &pool{name: name, queue: newQueue(), classes: make(map[string]*classPrefill)}
	p.pools[name] = l
	return l
}

// checkEndpoints avoids silent endpoints for a while, removes the expired reports
// of peers, and scans the queues. It does so at intervals of idleInterval.
func (p *Policy) checkEndpoints(now time.Time) {
	if now.Before(p.nextCheckAt) {
		return
	}
	p.nextCheckAt = now.Add(idleInterval)
	p.checkCold(now)
	expirePeers := !now.Before(p.nextPeerExpiryAt)
	if expirePeers {
		p.nextPeerExpiryAt = now.Add(peerExpiryInterval)
		p.usage.fleet.expire(now.Add(-p.ratesLifetime()))
	}
	p.updateHomeDomains(now)
	p.reportPredictions(now)
	for _, l := range p.pools {
		p.comparePaces(now, l)
		for _, e := range l.endpoints {
			if expirePeers {
				e.expirePeers(now.Add(-p.reportLifetime()))
			}
			e.processPeers(now)
			if e.silent(now) {
				e.health.silentUntil = now.Add(silentBackoff)
				p.emit(schedule.Decision{Event: "EndpointSilent", Fields: []string{
					"Endpoint", string(e.ID), "Silence", now.Sub(e.lastActivityAt).String(),
				}})
			}
		}
		p.scan(now, l)
	}
}
