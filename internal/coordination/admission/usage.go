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

// unservedTimeConstant is the time constant of the rate of refused and rejected
// requests. It is short, so that a shortage counts no longer soon after its end.
const unservedTimeConstant = 250 * time.Millisecond

// fleetRatesMaxAge is the time for which the sums over the fleet are reused.
const fleetRatesMaxAge = 25 * time.Millisecond

// outputWeight is the cost of a generated token in prompt tokens. It is the
// weight with which the operators count the work of a pool.
const outputWeight = 2

// rate measures a rate by means of an exponentially decaying sum.
type rate struct {
	timeConstant time.Duration
	sum          float64
	at           time.Time
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
	return r.sum / r.timeConstant.Seconds()
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

// organisationUsage is the work that an organisation has requested from, and
// received through, this router; see usageRates.
type organisationUsage struct {
	requested, received, unserved rate
	// reported is the rate of requested work in the last Pulse; zero before the first.
	reported float64
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
			requested: rate{timeConstant: usageTimeConstant}, received: rate{timeConstant: usageTimeConstant},
			unserved: rate{timeConstant: unservedTimeConstant},
		}
		u.own[organisation] = a
	}
	return a
}

func (u *usage) addRequested(now time.Time, organisation string, cost float64) {
	u.organisationUsage(organisation).requested.add(now, cost)
}

func (u *usage) addUnserved(now time.Time, organisation string, cost float64) {
	u.organisationUsage(organisation).unserved.add(now, cost)
}

func (u *usage) addReceived(now time.Time, organisation string, cost float64) {
	u.organisationUsage(organisation).received.add(now, cost)
	u.adjustRate(organisation, cost)
}

// adjustRate updates the received rate of an organisation in the sums until
// these are computed again.
func (u *usage) adjustRate(organisation string, cost float64) {
	if u.rates != nil {
		o := u.rates[organisation]
		o.received = max(0, o.received+cost/usageTimeConstant.Seconds())
		u.rates[organisation] = o
	}
}

func (u *usage) subtractReceived(now time.Time, organisation string, cost float64) {
	u.organisationUsage(organisation).received.add(now, -cost)
	u.adjustRate(organisation, -cost)
}

// fleetRates returns the rates of all organisations, summed over the routers.
func (u *usage) fleetRates(now time.Time) map[string]usageRates {
	if u.rates != nil && now.Sub(u.ratesAt) < fleetRatesMaxAge {
		return u.rates
	}
	rates := make(map[string]usageRates, len(u.own))
	own, total := 0.0, 0.0
	for name, a := range u.own {
		rates[name] = a.rates(now)
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
