package account

import (
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// counterReportLifetime is how long a router's report of a counter remains
	// valid beside newer reports from other routers.
	counterReportLifetime = 3 * time.Second
	// grantTransitTime is the age from which a grant is assumed to be included
	// in the counter that its receiver reports.
	grantTransitTime = 10 * time.Millisecond
)

// Counters are a dispatcher's estimates of the counters of one pool's
// organisations.
type Counters struct {
	byOrganisation map[string]*counter
	recentGrants   []grant
	lowestServed   minWindow
}

// counter is the counter of one organisation, derived from the reports of all
// routers.
type counter struct {
	// fallback is the value used while there is no valid report.
	fallback float64
	reports  map[view.RouterID]counterReport
}

type counterReport struct {
	reported   float64
	rate       float64
	receivedAt time.Time
	expiresAt  time.Time
}

func (r *counterReport) value(now time.Time) float64 {
	return r.reported + extrapolate(r.rate, r.receivedAt, now)
}

// grant is a grant that its receiver may not have received yet.
type grant struct {
	grantedAt    time.Time
	organisation string
	receiver     view.RouterID
	amount       float64
}

// NewCounters returns Counters without organisations.
func NewCounters() *Counters {
	return &Counters{byOrganisation: map[string]*counter{}, lowestServed: newMinWindow()}
}

// Value returns the organisation's counter at the given time; zero if nothing
// is known of the organisation. Between two reports the counter never
// decreases.
func (c *Counters) Value(now time.Time, organisation string) float64 {
	if k := c.byOrganisation[organisation]; k != nil {
		return k.value(now)
	}
	return 0
}

func (k *counter) value(now time.Time) float64 {
	value := k.fallback
	for _, r := range k.reports {
		value = max(value, r.value(now))
	}
	return value
}

// Update records a router's report of an organisation's counter and of its
// growth rate per second. The counter is the greatest of all valid reports.
// Grants that may still be in transit to the reporting router are added to its
// report.
func (c *Counters) Update(now time.Time, from view.RouterID, organisation string, reported, rate float64) {
	k := c.counter(organisation)
	for _, g := range c.inTransit(now) {
		if g.receiver == from && g.organisation == organisation {
			reported += g.amount
		}
	}
	k.reports[from] = counterReport{reported, rate, now, now.Add(counterReportLifetime)}
	k.expireReports(now)
}

// Charge charges the organisation for a grant to the router and returns the
// counter before the charge.
func (c *Counters) Charge(now time.Time, to view.RouterID, organisation string, amount float64) float64 {
	k := c.counter(organisation)
	before := k.value(now)
	k.reports[to] = counterReport{before + amount, k.reports[to].rate, now, now.Add(counterReportLifetime)}
	c.recentGrants = append(c.inTransit(now), grant{now, organisation, to, amount})
	c.lowestServed.add(now, before)
	return before
}

// RemoveRouter removes the reports of a router that has left the fleet.
func (c *Counters) RemoveRouter(now time.Time, from view.RouterID) {
	for _, k := range c.byOrganisation {
		if r, ok := k.reports[from]; ok {
			k.fallback = r.value(now)
			delete(k.reports, from)
			k.expireReports(now)
		}
	}
}

// LowestServed returns the lowest counter that received a grant recently; false
// if there was no recent grant.
func (c *Counters) LowestServed(now time.Time) (float64, bool) { return c.lowestServed.value(now) }

func (c *Counters) counter(organisation string) *counter {
	k := c.byOrganisation[organisation]
	if k == nil {
		k = &counter{reports: map[view.RouterID]counterReport{}}
		c.byOrganisation[organisation] = k
	}
	return k
}

// inTransit discards the grants that are old enough to have arrived and returns
// the others.
func (c *Counters) inTransit(now time.Time) []grant {
	arrived := 0
	for arrived < len(c.recentGrants) && now.Sub(c.recentGrants[arrived].grantedAt) >= grantTransitTime {
		arrived++
	}
	c.recentGrants = append(c.recentGrants[:0], c.recentGrants[arrived:]...)
	return c.recentGrants
}

// expireReports removes the reports that are no longer valid. Their greatest
// value becomes the fallback, which is reset once there is a valid report.
func (k *counter) expireReports(now time.Time) {
	for from, r := range k.reports {
		if now.After(r.expiresAt) {
			k.fallback = max(k.fallback, r.value(now))
			delete(k.reports, from)
		}
	}
	if len(k.reports) > 0 {
		k.fallback = 0
	}
}
