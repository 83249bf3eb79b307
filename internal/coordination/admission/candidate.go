package admission

import (
	"slices"
	"time"
)

const (
	// cacheMissPenalty is added to the score of an endpoint other than the home
	// endpoint for each token of a shared prompt prefix that it would have to
	// process because it does not have the prefix cached. A request thereby
	// waits for its home endpoint as long as its answer can still begin in time
	// there.
	cacheMissPenalty = 400 * time.Microsecond
	// homeCount is the number of endpoints that are preferred for a prompt prefix. The
	// penalty rises evenly from none for the first of them to the whole
	// cacheMissPenalty for all other endpoints.
	homeCount = 3
	// saturationPenalty is added to the score of a candidate in proportion to
	// the excess of its saturation over 1: in full at 2, where streams take
	// twice the accepted time.
	saturationPenalty = time.Second
	// deadlineMargin is the fraction of the time until the deadline within
	// which the answer must be expected to end. The remainder allows for
	// changes in the speed of the stream.
	deadlineMargin = 0.85
	// plainCallTime is the typical duration of a call to a plain service.
	plainCallTime = 15 * time.Millisecond
	// otherDomainPenalty is added to the score of an endpoint in another
	// failure domain, for requests without a prompt.
	otherDomainPenalty = 10 * time.Millisecond
)

// candidate is an endpoint that is able to run a request, with the values that
// the choice among candidates depends on.
type candidate struct {
	endpoint *endpoint
	work     work
	timing   timing
	// deadlineUse is the expected end of the answer as a fraction of the time that
	// it may take; see pool.deadlineUse. saturation is the greater of it and
	// timing.saturation.
	deadlineUse, saturation float64
	// timeToFirstToken is the expected time from now to the first token, and
	// tokensAhead the number of prompt tokens that the endpoint has to process
	// until then.
	timeToFirstToken time.Duration
	tokensAhead      int64
	// classTimeToFirstToken is the expected time to the first token of a typical
	// request of the class; see classPrefill.
	classTimeToFirstToken time.Duration
	// busyTime is the time for which the engine would be busy with prompts if it got a
	// typical request of the class.
	busyTime time.Duration
	// home is set for the endpoint on which all routers place requests with
	// this prompt prefix by preference; see Policy.homes.
	home bool
	// startNow is set if the request can be started on the endpoint now.
	startNow bool
	// score ranks the candidates; the lowest one is chosen.
	score time.Duration
}

// usable reports whether the endpoint should receive requests: it takes requests and
// is neither ejected nor being avoided.
func (p *Policy) usable(now time.Time, e *endpoint) bool {
	return e.takesRequests(now) && !now.Before(e.EjectedUntil) && !e.health.avoided(now)
}

// endpointState is the state of an endpoint on which all requests of a scan are
// judged.
type endpointState struct {
	load   load
	timing timing
}

// choose returns the endpoint with the lowest score for the request: the one
// where the answer should begin soonest, with penalties added for failures,
// saturation and the loss of a cached prefix. If spills is set, endpoints on which the
// request can be started now go before all others. It returns false if no endpoint can
// run the request.
func (p *Policy) choose(now time.Time, l *pool, w *queuedRequest, states []endpointState, capacityShare float64, spills bool) (candidate, bool) {
	homes := p.homes(now, l, w)
	var best candidate
	found := false
	for pass := range 2 {
		for i, e := range l.endpoints {
			if !p.eligible(now, w, e, pass > 0) {
				continue
			}
			c := p.evaluate(now, l, w, e, &states[i], homes.rank(e))
			if !e.fits(states[i].load, c.work) {
				continue
			}
			w.byEnd.consider(p, now, l, w, &c, &states[i], capacityShare)
			if found && c.score >= best.score && (best.startNow || !spills) {
				continue
			}
			c.startNow = p.canStart(now, w, &c, capacityShare)
			if !found || !spills || c.startNow && !best.startNow || c.startNow == best.startNow && c.score < best.score {
				best, found = c, true
			}
		}
		if found {
			break
		}
	}
	return best, found
}

// eligible reports whether the request may start at the endpoint, if that has room.
// Endpoints that are being avoided are admitted if avoided is set, and for a
// request without a model, ejected ones, since one of these is better than none;
// Accepts excludes ejected endpoints for a model. Endpoints that leave or have asked
// for time, and those that the request has already tried, stay excluded, and so do
// those that are no better than the silent one that still runs it.
func (p *Policy) eligible(now time.Time, w *queuedRequest, e *endpoint, avoided bool) bool {
	r := &w.request
	switch {
	case !e.takesRequests(now), slices.Contains(r.Tried, e.ID):
		return false
	case r.StillRuns && (e.inactive(now, e.own.backlog) || !p.usable(now, e)), !avoided && !p.usable(now, e):
		return false
	case !p.mayStartCold(now, e):
		return false
	case r.Exclusive && e.exclusive > 0:
		return false
	default:
		return r.Model == "" || e.Accepts(r.Model, now)
	}
}

// evaluate estimates how the endpoint would serve the request.
func (p *Policy) evaluate(now time.Time, l *pool, w *queuedRequest, e *endpoint, s *endpointState, rank int) candidate {
	c := candidate{endpoint: e, work: e.workOf(now, w.request.Prompt), home: rank == 0}
	if w.request.Prompt == nil {
		// Without a prompt there is no prefill; the expected time depends on
		// the number of requests in flight. The random part spreads the calls
		// over endpoints of equal load.
		c.score = e.health.penalty() + time.Duration(s.load.requests+1)*plainCallTime + p.domainPenalty(e) +
			time.Duration(p.random.Int64N(int64(plainCallTime)))
		return c
	}
	c.tokensAhead = s.load.backlog + c.work.prefill
	c.timeToFirstToken = e.timeToFirstToken(c.tokensAhead)
	c.classTimeToFirstToken = e.timeToFirstToken(s.load.backlog + w.class.tokens(c.work.prefill))
	c.busyTime = l.busyTime(e, s.load.backlog+w.class.tokens(c.work.prefill))
	c.timing = s.timing
	c.deadlineUse = l.deadlineUse(now, w, &c)
	c.saturation = max(c.timing.saturation(), c.deadlineUse)
	c.score = c.timeToFirstToken + e.health.penalty() + time.Duration(max(c.saturation-1, 0)*float64(saturationPenalty))
	shared := min(c.work.prefill, sharedPrefixTokens(w.request.Prompt))
	c.score += time.Duration(shared) * cacheMissPenalty * time.Duration(rank) / homeCount
	return c
}

// deadlineUse returns the time after which the answer is expected to end, at
// the endpoint's mean interval between events, as a fraction of the time
// available until the deadline.
func (l *pool) deadlineUse(now time.Time, w *queuedRequest, c *candidate) float64 {
	if l.tokensPerEvent <= 0 {
		return 0
	}
	events := float64(w.request.Prompt.OutputTokens) / l.tokensPerEvent
	ends := float64(c.timeToFirstToken) + events*float64(c.timing.eventInterval)
	return ends / max(deadlineMargin*float64(w.request.Deadline.Sub(now)), 1)
}

// domainPenalty returns a penalty for endpoints outside the router's own
// failure domain. It is small enough to decide only between endpoints that are
// otherwise about equal. There is none in a fleet that is too large for routers to know
// each other's calls: the endpoints of a domain with much traffic would be overrun.
func (p *Policy) domainPenalty(e *endpoint) time.Duration {
	if p.domain != e.FailureDomain && p.knowsCalls() {
		return otherDomainPenalty
	}
	return 0
}

// homes are the endpoints that all routers prefer for prompts with a shared prefix,
// in order of preference; nil for those that there are not.
type homes [homeCount]*endpoint

// rank returns the place of the endpoint among the homes, and homeCount if it is none.
func (h *homes) rank(e *endpoint) int {
	if i := slices.Index(h[:], e); i >= 0 {
		return i
	}
	return homeCount
}

// homes returns the endpoints that all routers prefer for prompts with the
// request's shared prefix, so that few engines have to cache the prefix. They are
// chosen by rendezvous hashing over the usable endpoints. A prefix that needs more than
// the first one can give continues at the second one, also where routers do not know
// of each other's requests (consistent hashing with bounded loads, Mirrokni et al.
// 2018). There are none for a request without a prompt prefix.
func (p *Policy) homes(now time.Time, l *pool, w *queuedRequest) homes {
	var h homes
	if w.prefixKey == 0 {
		return h
	}
	var scores [homeCount]uint64
	domain := p.homeDomainOf(now, l, w)
	for _, e := range l.endpoints {
		if domain != "" && e.FailureDomain != domain {
			continue
		}
		if !p.usable(now, e) || e.cold(now) {
			continue
		}
		s := rendezvousScore(w.prefixKey, e.hash)
		for i := range h {
			if h[i] == nil || s > scores[i] {
				copy(h[i+1:], h[i:])
				copy(scores[i+1:], scores[i:])
				h[i], scores[i] = e, s
				break
			}
		}
	}
	return h
}

// rendezvousScore returns the score of an endpoint, given by its hash, for a
// key in rendezvous hashing.
func rendezvousScore(key, endpoint uint64) uint64 {
	h := endpoint ^ key
	// The finaliser of splitmix64 removes the remaining correlation between
	// the scores of similar keys.
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
