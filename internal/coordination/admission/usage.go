package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usageTimeConstant is the time constant with which the rates of an organisation are
// averaged. Together with the age of peers' reports, up to a second, it is well below
// the 6 s over which the operators compare what organisations get, so that the bound
// follows a fall within that time.
const usageTimeConstant = 1500 * time.Millisecond

// recentTimeConstant is the time constant of a second, shorter mean of the received work;
// see usage.ownRates.
const recentTimeConstant = 500 * time.Millisecond

// clearFall is the ratio of the shorter mean to the other one below which it shows a fall.
// What a steady rate varies by would make the bound lower than it has to be.
const clearFall = 0.75

// unservedTimeConstant is the time constant of the rate of refused and rejected
// requests. It is short, so that a shortage counts no longer soon after its end.
const unservedTimeConstant = 250 * time.Millisecond

// fleetRatesMaxAge is the time for which the sums over the fleet are reused.
const fleetRatesMaxAge = 25 * time.Millisecond

// outputWeight is the cost of a generated token in prompt tokens. It is the
// weight with which the operators count the work of a pool.
const outputWeight = 2

// minMeanTime is the shortest time over which a rate is taken to be a mean.
const minMeanTime = 300 * time.Millisecond

// rate measures a rate by means of an exponentially decaying sum.
type rate struct {
	timeConstant time.Duration
	// since is when the first amount may have been added; zero if that is long ago.
	since time.Time
	sum   float64
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum = max(0, r.sum+amount)
}

func (r *rate) decay(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp(-float64(passed) / float64(r.timeConstant))
		r.at = now
	}
}

// perSecond returns the rate at the given instant.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / meanTime(now, r.since, r.timeConstant)
}

// meanTime returns the number of seconds over which a rate is a mean: the time constant,
// or less soon after the first request, when the sum lacks what was not measured.
func meanTime(now, since time.Time, timeConstant time.Duration) float64 {
	elapsed := max(now.Sub(since), minMeanTime)
	return timeConstant.Seconds() * -math.Expm1(-float64(elapsed)/float64(timeConstant))
}

// usageRates is the work that an organisation has requested and received, in
// tokens per second, and the part of it that was lately refused or rejected for
// other reasons than a bound on the organisation.
type usageRates struct{ requested, received, unserved float64 }

func (r usageRates) plus(o usageRates) usageRates {
	return usageRates{r.requested + o.requested, r.received + o.received, r.unserved + o.unserved}
}

// minus returns the difference, without the negative values that rounding leaves.
func (r usageRates) minus(o usageRates) usageRates {
	return usageRates{max(r.requested-o.requested, 0), max(r.received-o.received, 0), max(r.unserved-o.unserved, 0)}
}

// isShort reports whether most of the requested work is refused, or has been lately.
func (r usageRates) isShort() bool {
	return r.received < minServedShare*r.requested || r.unserved > maxUnservedRatio*r.received
}

// organisationUsage is the work that an organisation has requested from, and
// received through, this router; see usageRates.
type organisationUsage struct {
	requested, received, unserved rate
	// recent is the received work over recentTimeConstant.
	recent rate
	// reported is the rate of requested work in the last Pulse; zero before the first.
	reported float64
	// refused is the refused and rejected work since the last Pulse.
	refused float64
	// reportedShort is whether the organisation was short in the last Pulse.
	reportedShort bool
	// nextStartAt is when this router may start the next request of the organisation
	// while the bound holds it back, and returnAt when a caller that is refused for
	// it should return; see Policy.refuseHeld.
	nextStartAt, returnAt time.Time
}

func (o *organisationUsage) rates(now time.Time) usageRates {
	return usageRates{o.requested.perSecond(now), o.received.perSecond(now), o.unserved.perSecond(now)}
}

// usage tracks the work that each organisation requests from the whole fleet
// and receives.
type usage struct {
	own map[string]*organisationUsage
	// since is when this router got its first request.
	since time.Time
	// fleet holds the rates that other routers reported last.
	fleet fleetSums
	// rates are the sums over the fleet at ratesAt, updated with the work
	// received through this router since then.
	rates   map[string]usageRates
	ratesAt time.Time
	// ownShare is the part of the work requested from the fleet at ratesAt that
	// was requested from this router, 0 to 1.
	ownShare float64
}

func newUsage() *usage {
	return &usage{own: map[string]*organisationUsage{}, fleet: newFleetSums()}
}

func (u *usage) organisationUsage(organisation string) *organisationUsage {
	a := u.own[organisation]
	if a == nil {
		a = &organisationUsage{
			requested: rate{timeConstant: usageTimeConstant, since: u.since}, received: rate{timeConstant: usageTimeConstant, since: u.since},
			unserved: rate{timeConstant: unservedTimeConstant}, recent: rate{timeConstant: recentTimeConstant, since: u.since},
		}
		u.own[organisation] = a
	}
	return a
}

func (u *usage) addRequested(now time.Time, organisation string, cost float64) {
	if u.since.IsZero() {
		u.since = now
	}
	u.organisationUsage(organisation).requested.add(now, cost)
}

func (u *usage) addUnserved(now time.Time, organisation string, cost float64) {
	own := u.organisationUsage(organisation)
	own.unserved.add(now, cost)
	own.refused += cost
}

func (u *usage) addReceived(now time.Time, organisation string, cost float64) {
	own := u.organisationUsage(organisation)
	own.received.add(now, cost)
	own.recent.add(now, cost)
	u.adjustRate(now, organisation, cost)
}

// adjustRate updates the received rate of an organisation in the sums until
// these are computed again.
func (u *usage) adjustRate(now time.Time, organisation string, cost float64) {
	if u.rates != nil {
		o := u.rates[organisation]
		o.received = max(0, o.received+cost/meanTime(now, u.since, usageTimeConstant))
		u.rates[organisation] = o
	}
}

func (u *usage) subtractReceived(now time.Time, organisation string, cost float64) {
	own := u.organisationUsage(organisation)
	own.received.add(now, -cost)
	own.recent.add(now, -cost)
	u.adjustRate(now, organisation, -cost)
}

// ownRates returns the rates of an organisation at this router. If the organisation sends
// most of its requests here and most of them are refused, the received work is a shorter
// mean where that is clearly lower, so that a fall shows soon. For an organisation that
// sends each of many routers a few requests, the sum of such means would be too low.
func (u *usage) ownRates(now time.Time, organisation string, own *organisationUsage) usageRates {
	r := own.rates(now)
	if recent := own.recent.perSecond(now); u.isShort(organisation, r) && recent < clearFall*r.received {
		r.received = recent
	}
	return r
}

// isShort reports whether an organisation with the given rates at this router sends most of
// its requests here and has most of them refused.
func (u *usage) isShort(organisation string, own usageRates) bool {
	return own.isShort() && own.requested > u.fleet.requested(organisation)
}

// takeRefused returns the rate of the work that has been refused and rejected since the
// last Pulse at the given instant. A router that is late does so in bursts, between which
// the latest rate is low.
func (o *organisationUsage) takeRefused(now, last time.Time) float64 {
	refused := o.refused
	o.refused = 0
	return refused / max(now.Sub(last), unservedTimeConstant).Seconds()
}

// shortageBegins reports whether an organisation is short that was not in the last Pulse.
func (u *usage) shortageBegins(now time.Time, organisation string) bool {
	own := u.own[organisation]
	return own != nil && !own.reportedShort && u.isShort(organisation, own.rates(now))
}

// fleetRates returns the rates of all organisations, summed over the routers.
func (u *usage) fleetRates(now time.Time) map[string]usageRates {
	if u.rates != nil && now.Sub(u.ratesAt) < fleetRatesMaxAge {
		return u.rates
	}
	rates := make(map[string]usageRates, len(u.own))
	own, total := 0.0, 0.0
	for name, a := range u.own {
		rates[name] = u.ownRates(now, name, a)
		own += rates[name].requested
	}
	total = own
	for name, o := range u.fleet.sums {
		rates[name] = rates[name].plus(o.usageRates)
		total += o.requested
	}
	u.rates, u.ratesAt, u.ownShare = rates, now, own/max(total, 1)
	return rates
}

// ownPart returns the part of an organisation's requested work that is requested from
// this router, 0 to 1. What peers are asked for is known from their last reports, so
// this router's last report is compared with these: while the demand grows, the parts
// of all routers would otherwise add up to more than the whole.
func (u *usage) ownPart(now time.Time, organisation string) float64 {
	own := u.organisationUsage(organisation)
	current := own.requested.perSecond(now)
	reported := own.reported
	if reported == 0 {
		reported = current
	}
	return min(reported/max(u.fleetRates(now)[organisation].requested-current+reported, 1), 1)
}

// maxMinRate returns the max-min fair rate: the greatest rate that every
// organisation can receive at the same time when the capacity that some
// organisations don't request is shared by the others. It is infinite if the
// capacity is unknown or exceeds the demand.
func maxMinRate(rates map[string]usageRates, capacity float64) float64 {
	if capacity <= 0 {
		return math.Inf(1)
	}
	requested := make([]float64, 0, len(rates))
	for _, o := range rates {
		requested = append(requested, o.requested)
	}
	slices.SortFunc(requested, cmp.Compare)
	remaining := capacity
	for i, a := range requested {
		even := remaining / float64(len(requested)-i)
		if a >= even {
			return even
		}
		remaining -= a
	}
	return math.Inf(1)
}
