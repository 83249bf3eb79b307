package admission

import (
	"math"
	"strconv"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// maxGap is the ratio of what an organisation may receive to what the least
	// served organisation receives that is refused a large part of its requests.
	// It is below 2, the ratio that the operators accept over several seconds,
	// since rates of other routers are up to a second old.
	maxGap = 1.6
	// maxServedShare is the part of its requests that an organisation receives at
	// most if it counts as one that is refused a large part. It is above one half,
	// from which on the operators accept any ratio.
	maxServedShare = 0.6
	// minBoundShare is the least bound, in proportion to the rate of the best
	// served organisation. Where an organisation gets even less, the bound would
	// leave most capacity idle without bringing the ratio near to what is accepted.
	minBoundShare = 0.2
	// boundLogInterval is the time between two log lines about the bound.
	boundLogInterval = time.Second
)

// shares holds what organisations may receive, as it applies to one scan.
type shares struct {
	rates    map[string]usageRates
	fairRate float64
	// bound is the rate up to which organisations may receive work, and shortest
	// the least served organisation, on whose behalf it applies; infinite and empty
	// if there is none.
	//
	// Without a bound, an organisation may receive a multiple of what another one
	// receives that can't be served as it requests, for instance because its callers
	// use a router that has no processor time for them. Capacity stays idle while
	// organisations are held back, so the bound applies only while requests are
	// refused for other reasons than the bound itself.
	bound    float64
	shortest string
}

func newShares(rates map[string]usageRates, tokensPerSecond float64) shares {
	s := shares{rates: rates, fairRate: maxMinRate(rates, tokensPerSecond), bound: math.Inf(1)}
	best := 0.0
	for _, o := range rates {
		best = max(best, o.received)
	}
	for name, o := range rates {
		limit := maxGap * o.received
		if !s.isShort(o, best) || limit < minBoundShare*best {
			continue
		}
		if limit < s.bound || limit == s.bound && name < s.shortest {
			s.bound, s.shortest = limit, name
		}
	}
	return s
}

// isShort reports whether an organisation is refused a large part of its requests
// while others may be in its way: it requests no less than the fair rate, or than
// the best served one receives. The requests of any other come first at the engines.
func (s *shares) isShort(o usageRates, best float64) bool {
	if o.requested < min(s.fairRate, best) {
		return false
	}
	// The second condition ends soon after the shortage, the first one does not
	// follow single requests.
	return o.received < maxServedShare*o.requested && o.received < maxServedShare*(o.received+o.unserved)
}

// capacityShare returns the capacity share of a request; see capacityShareFor.
func (s *shares) capacityShare(r *schedule.Request) float64 {
	if r.Resumes {
		// The part of the answer that the caller has already received would be
		// wasted.
		return 1
	}
	return capacityShareFor(s.rates[r.Organisation].received, s.fairRate)
}

// heldUntil returns the instant until which this router starts no requests like
// this one because of the bound; zero if it may start one now. A router may give an
// organisation the part of the bound that corresponds to its part of the
// organisation's requests. Of these its own rates are exact, whereas it learns the
// rates of other routers late.
func (p *Policy) heldUntil(now time.Time, w *queuedRequest, s *shares) time.Time {
	own := p.usage.own[w.request.Organisation]
	if s.shortest == "" || own == nil || w.request.Prompt == nil || w.request.Resumes {
		return time.Time{}
	}
	allowed := s.bound * min(own.requested.perSecond(now)/max(s.rates[w.request.Organisation].requested, 1), 1)
	received := own.received.perSecond(now)
	if received < allowed {
		return time.Time{}
	}
	// The rate falls exponentially as long as nothing is started.
	wait := math.Log(received/max(allowed, 1)) * float64(usageTimeConstant)
	return now.Add(min(max(time.Duration(wait), minRetryDelay), maxRetryDelay))
}

// logBound logs the bound once per boundLogInterval, and its end.
func (p *Policy) logBound(now time.Time, s *shares) {
	if now.Before(p.nextBoundLogAt) || s.shortest == "" && !p.bounded {
		return
	}
	p.nextBoundLogAt, p.bounded = now.Add(boundLogInterval), s.shortest != ""
	if s.shortest == "" {
		p.emit(schedule.Decision{Event: "ShareBoundEnded"})
		return
	}
	o := s.rates[s.shortest]
	p.emit(schedule.Decision{Event: "ShareBounded", Fields: []string{
		"Organisation", s.shortest, "Requested", formatRate(o.requested), "Received", formatRate(o.received),
		"Unserved", formatRate(o.unserved), "Bound", formatRate(s.bound), "FairRate", formatRate(s.fairRate),
	}})
}

func formatRate(tokensPerSecond float64) string {
	return strconv.FormatFloat(tokensPerSecond, 'f', 0, 64)
}
