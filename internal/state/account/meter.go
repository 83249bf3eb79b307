package account

// Meter is what one router knows of one organisation in one pool.
type Meter struct {
	total        float64
	reserved     float64
	settled      float64
	acknowledged float64
	// others is what the organisation received and has reserved through
	// other routers.
	othersSettled, othersReserved float64
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

// Tag is the organisation's counter as this router knows it.
func (m *Meter) Tag() float64 {
	return m.othersSettled + m.total + m.othersReserved + m.reserved
}

// Acknowledge takes the holder's answer to a report: what is settled in all,
// the part of it that comes from this meter, and what is reserved through
// others. An answer older than what the meter knows settles nothing.
func (m *Meter) Acknowledge(settled, total, othersReserved float64) {
	if total > m.total {
		return // for an earlier incarnation of this router
	}
	m.othersReserved = othersReserved
	if settled-total < m.othersSettled || total < m.acknowledged {
		return
	}
	m.settled, m.acknowledged = settled, total
	m.othersSettled = settled - total
}
