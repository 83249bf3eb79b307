package account

import "time"

const (
	// paceEvery is the least time over which a rate is measured.
	paceEvery = 500 * time.Millisecond
	// paceWeight is the weight of a new rate in the smoothed one.
	paceWeight = 0.5
	// extrapolateFor is how long a counter is taken to grow at its last known
	// rate without being heard of.
	extrapolateFor = 2 * time.Second
)

// Meter is what one router knows of one organisation in one pool.
type Meter struct {
	total        float64
	reserved     float64
	settled      float64
	acknowledged float64
	own          pace
	// others is what the organisation received and has reserved through
	// other routers.
	othersSettled, othersReserved float64
	// lifted is the part of othersSettled that nobody has received.
	lifted float64
	others pace
}

// pace measures the rate of an amount that grows.
type pace struct {
	amount float64
	at     time.Time
	rate   float64 // a second
}

func (p *pace) measure(now time.Time, amount float64) {
	if p.at.IsZero() {
		p.amount, p.at = amount, now
		return
	}
	age := now.Sub(p.at)
	if age < paceEvery {
		return
	}
	p.rate += paceWeight * ((amount-p.amount)/age.Seconds() - p.rate)
	p.amount, p.at = amount, now
}

// grown is what the rate adds from the given instant on.
func grown(rate float64, since, now time.Time) float64 {
	if since.IsZero() {
		return 0
	}
	return rate * min(max(now.Sub(since), 0), extrapolateFor).Seconds()
}

// Serve settles service that has been received.
func (m *Meter) Serve(amount float64) { m.total += amount }

// Reserve sets an amount aside for a request that begins.
func (m *Meter) Reserve(amount float64) { m.reserved += amount }

// Free ends the reserve of a request that has ended.
func (m *Meter) Free(amount float64) { m.reserved = max(0, m.reserved-amount) }

// Total is everything settled since the router's start.
func (m *Meter) Total() float64 { return m.total }

// Reserved is the reserve of everything that runs.
func (m *Meter) Reserved() float64 { return m.reserved }

// Acknowledged is the part of Total that Settled contains.
func (m *Meter) Acknowledged() float64 { return m.acknowledged }

// Settled is what the account's holder gave last.
func (m *Meter) Settled() float64 { return m.settled }

// Measure looks at the rate of service; it is to be called now and then.
func (m *Meter) Measure(now time.Time) { m.own.measure(now, m.total) }

// Rate is the service that the organisation receives a second, from all
// routers.
func (m *Meter) Rate() float64 { return m.own.rate + m.others.rate }

// Tag is the organisation's counter as this router knows it.
func (m *Meter) Tag(now time.Time) float64 {
	growth := grown(m.others.rate, m.others.at, now)
	if m.own.rate > 0 {
		// The others compete with the same counter, so they are served when
		// this router is.
		growth = min(m.others.rate/m.own.rate*(m.total-m.acknowledged), m.others.rate*extrapolateFor.Seconds())
	}
	return m.othersSettled + growth + m.total + m.othersReserved + m.reserved
}

// Acknowledge takes the holder's answer to a report. An answer older than what
// the meter knows settles nothing.
func (m *Meter) Acknowledge(now time.Time, s Standing) {
	if s.Total > m.total {
		return // for an earlier incarnation of this router
	}
	m.othersReserved = s.OthersReserved
	if s.Settled-s.Total < m.othersSettled || s.Total < m.acknowledged {
		return
	}
	m.settled, m.acknowledged = s.Settled, s.Total
	m.othersSettled = s.Settled - s.Total
	// A lift is no service and says nothing of the rate.
	m.others.amount += max(0, s.Lifted-m.lifted)
	m.lifted = s.Lifted
	m.others.measure(now, m.othersSettled)
}
