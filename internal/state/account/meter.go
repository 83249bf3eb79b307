package account

import "time"

const (
	// minRateInterval is the minimum time over which a rate is measured.
	minRateInterval = 500 * time.Millisecond
	// rateSmoothing is the weight of a new sample in the smoothed rate.
	rateSmoothing = 0.5
	// maxExtrapolation is how long a counter is assumed to grow at its last
	// known rate without a new report.
	maxExtrapolation = 2 * time.Second
)

// Meter measures the service that one router provides to one organisation in
// one pool, and retains the last answer of the account's holder.
type Meter struct {
	total        float64
	reserved     float64
	settled      float64
	acknowledged float64
	ownRate      rateEstimate
	// othersSettled and othersReserved are the service settled and the reserves
	// held by the other routers.
	othersSettled, othersReserved float64
	// lifted is the part of othersSettled that was added to raise the account
	// to the ledger's floor and does not stand for service.
	lifted     float64
	othersRate rateEstimate
}

// rateEstimate is the smoothed growth rate of an amount.
type rateEstimate struct {
	amount     float64
	measuredAt time.Time
	perSecond  float64
}

func (r *rateEstimate) update(now time.Time, amount float64) {
	if r.measuredAt.IsZero() {
		r.amount, r.measuredAt = amount, now
		return
	}
	age := now.Sub(r.measuredAt)
	if age < minRateInterval {
		return
	}
	r.perSecond += rateSmoothing * ((amount-r.amount)/age.Seconds() - r.perSecond)
	r.amount, r.measuredAt = amount, now
}

// extrapolate returns the growth since the given time at a rate per second, for
// at most maxExtrapolation; zero if there is no such time yet.
func extrapolate(rate float64, since, now time.Time) float64 {
	if since.IsZero() {
		return 0
	}
	return rate * min(max(now.Sub(since), 0), maxExtrapolation).Seconds()
}

// AddService adds service that the organisation has received to the settled
// total.
func (m *Meter) AddService(amount float64) { m.total += amount }

// AddReserve adds the reserve of a request that starts.
func (m *Meter) AddReserve(amount float64) { m.reserved += amount }

// ReleaseReserve releases the reserve of a request that has ended.
func (m *Meter) ReleaseReserve(amount float64) { m.reserved = max(0, m.reserved-amount) }

// Total returns the service settled since the router's start.
func (m *Meter) Total() float64 { return m.total }

// Reserved returns the sum of the reserves of the running requests.
func (m *Meter) Reserved() float64 { return m.reserved }

// Acknowledged returns the part of Total that Settled includes.
func (m *Meter) Acknowledged() float64 { return m.acknowledged }

// Settled returns the balance in the last answer of the account's holder.
func (m *Meter) Settled() float64 { return m.settled }

// UpdateRate updates the rate of this router's service. It must be called
// periodically.
func (m *Meter) UpdateRate(now time.Time) { m.ownRate.update(now, m.total) }

// Rate returns the service per second that the organisation receives from all
// routers.
func (m *Meter) Rate() float64 { return m.ownRate.perSecond + m.othersRate.perSecond }

// Counter returns this router's estimate of the organisation's counter.
func (m *Meter) Counter(now time.Time) float64 {
	growth := extrapolate(m.othersRate.perSecond, m.othersRate.measuredAt, now)
	if m.ownRate.perSecond > 0 {
		// All routers bid with the same counter, so the service of the other
		// routers and of this router grows in the ratio of their rates. This
		// router's unacknowledged service therefore gives a better estimate of
		// the others' growth than the time since the last answer.
		growth = min(m.othersRate.perSecond/m.ownRate.perSecond*(m.total-m.acknowledged), m.othersRate.perSecond*maxExtrapolation.Seconds())
	}
	return m.othersSettled + growth + m.total + m.othersReserved + m.reserved
}

// Acknowledge applies the holder's answer to a report. An answer that is older
// than the last one applied updates only the reserves of the other routers.
func (m *Meter) Acknowledge(now time.Time, b Balance) {
	if b.Total > m.total {
		return // the answer is to an earlier incarnation of this router
	}
	m.othersReserved = b.OthersReserved
	if b.Settled-b.Total < m.othersSettled || b.Total < m.acknowledged {
		return
	}
	m.settled, m.acknowledged = b.Settled, b.Total
	m.othersSettled = b.Settled - b.Total
	// A lift is not service, so the rate must not include it.
	m.othersRate.amount += max(0, b.Lifted-m.lifted)
	m.lifted = b.Lifted
	m.othersRate.update(now, m.othersSettled)
}
