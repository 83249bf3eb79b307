package admission

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// maxGap is the ratio of what an organisation may receive to what the least
	// served organisation receives that is refused a large part of its requests. It is
	// below the 2 that operators accept over several seconds, because rates of other
	// routers are up to a second old.
	maxGap = 1.6
	// maxServedShare is the part of its requests that an organisation receives at
	// most if it counts as one that is refused a large part.
	maxServedShare = 0.6
	// minServedShare is the part of its requests that an organisation receives at least
	// if it is not short; see usageRates.isShort. It is below the half that operators
	// require, since requests of callers that return at another router count again.
	minServedShare = 0.45
	// maxUnservedRatio is the ratio of lately refused to received work from which on an
	// organisation is short.
	maxUnservedRatio = 2
	// returnedShare is the part of the refused and rejected requests that are taken
	// to be the same requests again, sent by callers that return at another router.
	returnedShare = 0.25
	// minBoundShare is the part of the fair rate that the bound for an organisation
	// exceeds if it applies: a lower one would leave most capacity idle. It is also the part
	// of what the best served organisation receives below which no bound goes, so that it
	// takes effect in steps; and without a fair rate, none applies below that part.
	minBoundShare = 0.2
	// heldThreshold is the part of the bound from which on an organisation is held to
	// it. It is below 1, so that an organisation that has reached the bound remains
	// held while its mean rate and the bound vary: one that is not held starts all its
	// requests until the next reports.
	heldThreshold = 0.8
	// maxStartInterval is the longest time between two starts of an organisation at a
	// router because of the bound. The router's part of the bound may be less than
	// one request in that time.
	maxStartInterval = 5 * time.Second
	// maxBoundLifetime is the longest time for which a bound continues to apply after its
	// reason has ended; see keepBound.
	maxBoundLifetime = 1500 * time.Millisecond
	// boundLogInterval is the time between two log lines about the bound.
	boundLogInterval = time.Second
)

// shares holds what organisations may receive, as it applies to one scan.
type shares struct {
	rates    map[string]usageRates
	fairRate float64
	// bound is the rate up to which organisations may receive work, and leastServed
	// the organisation on whose behalf it applies; infinite and empty if there is
	// none.
	//
	// Without a bound, an organisation may receive a multiple of what another one
	// receives that can't be served as it requests, for instance because its callers
	// use a router that has no processor time for them. Capacity stays idle while
	// organisations are held back, so the bound applies only while requests are
	// refused for other reasons than the bound itself.
	bound       float64
	leastServed string
}

func newShares(rates map[string]usageRates, tokensPerSecond float64) shares {
	s := shares{rates: rates, fairRate: maxMinRate(rates, tokensPerSecond), bound: math.Inf(1)}
	best := 0.0
	for _, o := range rates {
		best = max(best, o.received)
	}
	minLimit := minBoundShare * best
	if !math.IsInf(s.fairRate, 1) {
		minLimit = minBoundShare * s.fairRate
	}
	for name, o := range rates {
		limit := maxGap * o.received
		if limit <= minLimit || !s.isMostlyRefused(o, best) {
			continue
		}
		limit = max(limit, minBoundShare*best)
		if limit < s.bound || limit == s.bound && name < s.leastServed {
			s.bound, s.leastServed = limit, name
		}
	}
	return s
}

// lastBound is the lowest bound that applied lately in a pool.
type lastBound struct {
	organisation string
	rate         float64
	until        time.Time
}

// keepBound lets a bound continue for a while after its reason has ended, or given way to
// that of a higher one. An organisation whose callers are rejected in bursts gets most of
// what it asks for in between, and without a bound all routers start what others ask for
// until the next reports.
func (l *pool) keepBound(now time.Time, s *shares, lifetime time.Duration) {
	last := &l.lastBound
	kept := max(last.rate, maxGap*s.rates[last.organisation].received)
	if now.Before(last.until) && s.leastServed != last.organisation && kept < s.bound {
		s.bound, s.leastServed = kept, last.organisation
		return
	}
	if s.leastServed != "" {
		*last = lastBound{s.leastServed, s.bound, now.Add(lifetime)}
	}
}

// boundLifetime returns the time for which a bound continues to apply after its reason has
// ended: until the next reports, unless these are rare.
func (p *Policy) boundLifetime() time.Duration {
	return min(p.pulseInterval(), maxBoundLifetime)
}

// isMostlyRefused reports whether an organisation is refused a large part of what it
// requests while others may be in its way: it requests no less than the fair rate, or
// than the best served one receives. The requests of any other organisation come first at
// the engines, and it counts only if it is short: a router may have no processor time for
// its requests.
func (s *shares) isMostlyRefused(o usageRates, best float64) bool {
	demand := o.received + (1-returnedShare)*max(o.requested-o.received, o.unserved)
	if demand < min(s.fairRate, best) && !o.isShort() {
		return false
	}
	// The rates of requested and received work are means over seconds, which single
	// refusals do not change. That of unserved work ends soon after the refusals.
	return o.received < maxServedShare*demand && o.received < maxServedShare*(o.received+o.unserved)
}

// capacityShare returns the capacity share of a request; see capacityShareFor.
func (s *shares) capacityShare(r *schedule.Request) float64 {
	if r.Resumes {
		// The part of the answer that the caller has already received would be
		// wasted.
		return maxCapacityShare
	}
	return capacityShareFor(s.rates[r.Organisation].received, s.fairRate)
}

// holds reports whether the bound holds back the organisation of the request. It
// does not hold the organisation on whose behalf it applies, which may reach it
// within a scan.
func (s *shares) holds(r *schedule.Request) bool {
	return s.leastServed != "" && r.Organisation != s.leastServed && r.Prompt != nil && !r.Resumes && !r.Nested &&
		s.rates[r.Organisation].received >= heldThreshold*s.bound
}

// startInterval returns the time between the start of this request and that of the
// next one of its organisation at which the organisation receives the router's part
// of the bound. That part corresponds to the router's part of the organisation's
// requests.
func (p *Policy) startInterval(now time.Time, w *queuedRequest, s *shares) time.Duration {
	part := p.usage.ownPart(now, w.request.Organisation)
	return time.Duration(min(w.cost/max(s.bound*part, 1), maxStartInterval.Seconds()) * float64(time.Second))
}

// mayStart reports whether this router may start a request of the organisation now
// by the bound.
func (p *Policy) mayStart(now time.Time, w *queuedRequest, s *shares) bool {
	return !s.holds(&w.request) || !now.Before(p.usage.organisationUsage(w.request.Organisation).nextStartAt)
}

// paceStarts records that a request has been started while the bound holds back its
// organisation.
func (p *Policy) paceStarts(now time.Time, w *queuedRequest, s *shares) {
	if s.holds(&w.request) {
		p.usage.organisationUsage(w.request.Organisation).nextStartAt = now.Add(p.startInterval(now, w, s))
	}
}

// refuseHeld refuses a request of an organisation that the bound holds back. Each
// further caller is asked to return when one more request may have been started, or
// when an endpoint takes requests again.
func (p *Policy) refuseHeld(now time.Time, l *pool, w *queuedRequest, s *shares) {
	if p.refusePaused(now, l, w) {
		return
	}
	own := p.usage.organisationUsage(w.request.Organisation)
	if own.returnAt.Before(own.nextStartAt) {
		own.returnAt = own.nextStartAt
	}
	delay := min(max(own.returnAt.Sub(now), minRetryDelay), maxRetryDelay)
	own.returnAt = now.Add(delay + p.startInterval(now, w, s))
	delay += time.Duration(p.random.Int64N(int64(minRetryDelay)))
	p.emit(schedule.Refusal{
		ID: w.request.ID, Reason: schedule.RefusalOverload, RetryAt: now.Add(delay),
		Detail: fmt.Sprintf("cause=%s,for=%s,received=%.0f,bound=%.0f", causeBounded, s.leastServed, s.rates[w.request.Organisation].received, s.bound),
	})
}

// logBound logs the bound in a pool once per boundLogInterval, and its end.
func (p *Policy) logBound(now time.Time, l *pool, s *shares) {
	if now.Before(l.nextBoundLogAt) || s.leastServed == "" && !l.bounded {
		return
	}
	l.nextBoundLogAt, l.bounded = now.Add(boundLogInterval), s.leastServed != ""
	if s.leastServed == "" {
		p.emit(schedule.Decision{Event: "ShareBoundEnded", Fields: []string{"Pool", l.name}})
		return
	}
	o := s.rates[s.leastServed]
	p.emit(schedule.Decision{Event: "ShareBounded", Fields: []string{
		"Pool", l.name, "Organisation", s.leastServed, "Requested", formatRate(o.requested), "Received", formatRate(o.received),
		"Unserved", formatRate(o.unserved), "Bound", formatRate(s.bound), "FairRate", formatRate(s.fairRate),
	}})
}

func formatRate(tokensPerSecond float64) string {
	return strconv.FormatFloat(tokensPerSecond, 'f', 0, 64)
}
